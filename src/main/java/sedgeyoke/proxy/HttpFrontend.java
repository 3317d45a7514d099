package sedgeyoke.proxy;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import sedgeyoke.body.BodyBudget;
import sedgeyoke.body.BodyLimits;
import sedgeyoke.body.MinimumTransferRate;
import sedgeyoke.policy.LoadBalancingPolicy.Effect;
import sedgeyoke.policy.LoadBalancingPolicy.Request;

/**
 * HTTP from clients. Requests that are not in order are turned down here and never reach the module; all others
 * get one answer each, in whatever way they end.
 */
final class HttpFrontend {
    private static final String PATH = "/api";
    private static final String HEALTH = "/_health";
    /** Share of the sockets for clients; at that many, connections are no longer accepted. */
    private static final double CLIENT_SHARE = 0.5;
    /** From so many below that, connections without a request make way, and further requests are refused. */
    private static final int RESERVE = 32;

    private static final long LOOK_EVERY_MS = 50;
    /** How long a new connection may take for its first whole request, and an old one for its next. */
    private static final long REQUEST_WITHIN = 2_600_000;
    /** How long the rest of what the client sends is thrown away, so that it gets to read why. */
    private static final long LEAVE_WITHIN = 2_000_000;
    /** A connection that has asked is closed when idle for that long: some clients never do. */
    private static final long LONGEST_IDLE = 2_000_000;
    /** Where room is short, on their side or ours, it is closed after that. */
    private static final long LEAST_IDLE = 500_000;
    /** Clients may hold a third of the sockets. From this share on, what is idle for long makes way for requests. */
    private static final double SHORT_OF_SHARE = 0.125;
    /** From this share on, half of that third, each answer ends its connection. */
    private static final double CROWDED_SHARE = 0.17;
    /** Clients that connect for a request send it at once; one that is silent for longer makes way if need be. */
    private static final long SILENT_FOR = 100_000;
    /**
     * Bytes that a client may send behind a request that is open, as much as one more; on all connections together so
     * many times that.
     */
    private static final int MOST_AHEAD = 80 * 1024;

    private static final int MOST_AHEAD_IN_ALL = 100;
    /** Connections accepted in one pass of the loop (Netty's bound). */
    private static final int MOST_ACCEPTED = 16;
    /** Reads in a row on one connection, before others have their turn. */
    private static final int MOST_READS = 16;

    private static final int LEAST_READ = 512;
    private static final int FIRST_READ = 2_048;
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,12}");
    private static final long LONGEST_BUDGET_MS = 3_600_000;
    /** Fields that would change how a message is read must not come behind it (RFC 9110, section 6.5.1). */
    private static final Set<String> NO_TRAILERS = Set.of(
            "content-length",
            "transfer-encoding",
            "host",
            "trailer",
            "connection",
            "content-encoding",
            "content-type",
            "content-range",
            "te",
            "upgrade",
            "keep-alive");

    private static final String OPEN_ID = "X-Call-Id (a request with it is open)";
    private static final List<CharSequence> PASSED_ON = List.of(
            HttpHeaderNames.HOST,
            "X-Call-Id",
            "Idempotency-Key",
            "X-Call-Class",
            "X-Caller",
            HttpHeaderNames.CONTENT_TYPE);

    private final EventLoop loop;
    private final BalancerConfig config;
    private final Transport transport;
    private final ProxyCore node;
    private final BodyLimits limits;
    private final BodyBudget budget;
    private final int mostConnections;
    private final Set<Connection> connections = new HashSet<>();
    /** Connections with a request that is not answered, or whose answer is not yet out. */
    private int busy;
    /** Connections that wait for their next request. */
    private int idle;
    /** Bytes that have come behind open requests, on all connections. */
    private long ahead;

    private long accepted;
    private long acceptedBefore = -MOST_ACCEPTED; // whoever asks first has to ask again
    private Channel listener;
    private boolean draining;
    private boolean closing;
    /** Another process accepts from the same listener, and clients are to go to it. */
    private boolean handedOver;

    private final ServerSocketChannel inherited;

    /** A request that is not in order; the message goes to the client. */
    private static final class BadRequest extends Exception {
        private static final long serialVersionUID = 1L;

        BadRequest(String message) {
            super(message);
        }
    }

    /** {@code inherited} is the listener that the platform holds, or null: then we bind our own. */
    HttpFrontend(
            EventLoop loop,
            BalancerConfig config,
            ProxyCore node,
            Transport transport,
            BodyLimits limits,
            ServerSocketChannel inherited) {
        this.inherited = inherited;
        this.limits = limits;
        this.budget = node.budget();
        this.transport = transport;
        this.loop = loop;
        this.config = config;
        this.node = node;
        this.mostConnections = (int) (CLIENT_SHARE * config.sockets());
    }

    /** Starts listening; the future is done when that has worked or failed. */
    ChannelFuture bind() {
        loop.scheduleWithFixedDelay(this::look, LOOK_EVERY_MS, LOOK_EVERY_MS, TimeUnit.MILLISECONDS);
        ServerBootstrap server = inherited == null ? transport.server(loop) : transport.server(loop, inherited);
        server.handler(new ChannelInitializer<ServerChannel>() {
                    @Override
                    protected void initChannel(ServerChannel ch) {
                        listener = ch; // here, on the loop: a client may be there before the caller's thread goes on
                    }
                })
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.config()
                                .setRecvByteBufAllocator(
                                        // on until nothing is left: the end of a client that has left comes behind its
                                        // request
                                        new AdaptiveRecvByteBufAllocator(LEAST_READ, FIRST_READ, limits.read())
                                                .respectMaybeMoreData(false)
                                                .maxMessagesPerRead(MOST_READS));
                        Connection connection = new Connection(ch);
                        if (limits.streaming()) {
                            Transport.limit(ch, limits);
                        }
                        ch.pipeline()
                                .addLast(
                                        connection.new ReadAhead(),
                                        new RequestValidator.Decoder(limits.part()),
                                        new HttpResponseEncoder(),
                                        new RequestValidator(connection::fault, limits.longestBody()),
                                        connection);
                    }
                });
        return inherited == null ? server.bind(transport.at(config.listen())) : server.register();
    }

    private void look() {
        long now = node.now();
        List.copyOf(connections).forEach(c -> c.look(now));
        letIdleGo(now);
        makeRoom();
    }

    /**
     * Whether a connection may wait for its next request. Guards against clients that ask once and keep it: ended with
     * its answer, it crosses no request, as it would if we closed it later.
     */
    private boolean mayKeep() {
        return !closing && !handedOver && busy + idle <= CROWDED_SHARE * config.sockets();
    }

    /**
     * Guards against clients that ask once and keep their connection: at the limit that clients have, further requests
     * find no connection and never reach us, while we have nothing to do.
     */
    private void letIdleGo(long now) {
        List<Connection> idle = connections.stream()
                .filter(Connection::rests)
                .sorted(Comparator.comparingLong(c -> c.since))
                .toList();
        long over = busy + idle.size() - (long) (SHORT_OF_SHARE * config.sockets());
        idle.stream()
                .limit(Math.max(0, over))
                .filter(c -> now - c.since > LEAST_IDLE)
                .forEach(c -> c.channel.close());
    }

    /** Guards against running out of sockets: of the connections without a request, the longest idle make way. */
    private void makeRoom() {
        if (connections.size() > mostConnections - RESERVE) {
            long now = node.now();
            connections.stream()
                    .filter(c -> c.mayGo(now))
                    .sorted(Comparator.comparingLong(c -> c.since))
                    .limit(connections.size() - mostConnections + RESERVE)
                    .toList()
                    .forEach(c -> c.channel.close());
        }
        listener.config().setAutoRead(accepting() && connections.size() < mostConnections);
    }

    /** From now on the front is told not to send us more. */
    void drain() {
        draining = true;
    }

    /**
     * Whether we take new connections. Of a listener that is shared only a process takes some that can serve them: the
     * other one would have.
     */
    private boolean accepting() {
        return !handedOver && (inherited == null || node.ready());
    }

    boolean takesClients() {
        return node.ready() && !draining;
    }

    /** From now on clients are another process's: each is told with its next answer that its connection ends. */
    void handOver() {
        handedOver = true;
        makeRoom();
    }

    boolean shared() {
        return inherited != null;
    }

    void stopListening() {
        if (listener != null) { // it may never have come to listening
            listener.close();
        }
    }

    /** Requests that are taken and whose answer is not yet out. */
    int inFlight() {
        return busy;
    }

    /**
     * Ends the connections on which no request has begun to come; further answers end theirs. To be called again and
     * again: the first call only has requests refused from then on, and what had come by then is read before the next.
     *
     * @param last nobody is waited for any more
     */
    void close(boolean last) {
        if (closing) {
            long now = node.now();
            List.copyOf(connections).forEach(c -> c.end(now, last));
        }
        closing = true;
    }

    /** Whether fewer connections have come since it was asked last than one pass takes: then the kernel holds none. */
    boolean backlogEmpty() {
        boolean empty = accepted - acceptedBefore < MOST_ACCEPTED;
        acceptedBefore = accepted;
        return empty;
    }

    /** What long bodies are counted with now. */
    long reserved() {
        return budget.reserved();
    }

    /** How many client connections there are, those included whose last answer is still on its way. */
    int clients() {
        return connections.size();
    }

    // ---- Reading requests ----------------------------------------------------------------------------

    private Request request(HttpRequest http, QueryStringDecoder uri) throws BadRequest {
        HttpHeaders h = http.headers();
        String id = h.get("X-Call-Id");
        require(id != null && !id.isBlank() && h.getAll("X-Call-Id").size() == 1, "X-Call-Id");
        require(!node.knows(id), OPEN_ID);
        int cls = config.facts().classNames().indexOf(h.get("X-Call-Class"));
        require(cls >= 0, "X-Call-Class");
        long budget = number(h.get("X-Budget-Ms"));
        require(budget > 0 && budget <= LONGEST_BUDGET_MS, "X-Budget-Ms");
        Effect effect = config.facts().settings().classes().get(cls).effect();
        // Without a key upstreams cannot drop repeats, and the module would send some.
        require(effect != Effect.IDEMPOTENT_WITH_KEY || h.contains("Idempotency-Key"), "Idempotency-Key");
        int tenant = config.facts().tenantNames().isEmpty()
                ? 0
                : config.facts().tenantNames().indexOf(h.get("X-Caller"));
        List<String> keys = uri.parameters().getOrDefault("obj", List.of());
        return new Request(
                id,
                cls,
                tenant,
                keys.isEmpty() ? null : keys.get(0),
                Math.max(0, number(h.get("X-Call-Cost"))),
                budget * 1_000,
                !http.method().equals(HttpMethod.GET),
                "1".equals(h.get("X-Again")));
    }

    private static HttpHeaders onward(HttpHeaders h) {
        HttpHeaders onward = new DefaultHttpHeaders();
        for (CharSequence name : PASSED_ON) {
            String value = h.get(name);
            if (value != null) {
                onward.set(name, value);
            }
        }
        return onward;
    }

    private static void require(boolean ok, String what) throws BadRequest {
        if (!ok) {
            throw new BadRequest("missing or malformed: " + what);
        }
    }

    /** A whole number that is not negative; -1 for anything else. */
    private static long number(String text) {
        return text != null && NUMBER.matcher(text).matches() ? Long.parseLong(text) : -1;
    }

    // ---- Connections ---------------------------------------------------------------------------------

    /** What a connection is at. */
    private enum Phase {
        /** Nothing has come yet. */
        NEW,
        /** A part of a request has come. */
        READING,
        /** A request is being handled. */
        OPEN,
        /** Its answer is on its way. */
        WRITING,
        /** It is out, and the next request may come. */
        IDLE,
        /** The last answer is out; what still comes is thrown away. */
        LEAVING
    }

    /** One connection of a client: one request at a time, further ones wait for their turn. */
    private final class Connection extends ChannelInboundHandlerAdapter
            implements Exchange.Reply, RequestBody.Source, ResponseStream.Sink {
        private final Channel channel;
        /** What came behind the request that is being handled, and the word that one is refused. */
        private final Queue<Object> waiting = new ArrayDeque<>();
        /** What the heads of requests said that are in order, until the rest of each has come and it is its turn. */
        private final Queue<Request> heads = new ArrayDeque<>();
        /** The request that is being read, its body, and how fast that comes. */
        private HttpRequest head;

        private RequestBody body;
        private MinimumTransferRate pace;
        /** Bodies that go on as they come, and are counted with the budget. */
        private int counted;
        /** Where the answer comes from that is passed on as it comes. */
        private ResponseStream.Source answering;

        private Phase phase = Phase.NEW;
        /** Since when, on the module's clock. */
        private long since;

        private Exchange call;
        /** From the arrival of a request until its answer: guards against a second one. */
        private boolean owed;

        private boolean keepAlive;
        /** Bytes that have come behind the open request, and whether they were too many: then the rest is unheard. */
        private int ahead;

        private boolean deaf;
        /** The last part of the request that is being read, until all is read that came with it. */
        private LastHttpContent lastPart;
        /** Whether a read is going on. */
        private boolean reading;
        /** Whether the read that is going on has brought a request. */
        private boolean whole;
        /** Once closed it is counted off, and what comes of its last bytes must not count it again. */
        private boolean gone;

        Connection(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            since = node.now();
            connections.add(this);
            accepted++;
            channel.closeFuture().addListener(closed -> {
                count(-1);
                gone = true;
                caughtUp();
                uncount();
                connections.remove(this);
                makeRoom();
            });
            makeRoom();
        }

        private void enter(Phase next) {
            count(-1);
            phase = next;
            since = node.now();
            count(1);
        }

        private void count(int sign) {
            busy += isBusy() ? sign : 0;
            idle += !gone && phase == Phase.IDLE ? sign : 0;
        }

        private boolean isBusy() {
            return !gone && (phase == Phase.OPEN || phase == Phase.WRITING); // an answer may cross the close
        }

        /** Whether nothing is asked. Guards against the end of a request that has been read and is next in turn. */
        private boolean rests() {
            return phase == Phase.IDLE && waiting.isEmpty();
        }

        /**
         * Whether a client that was told of the end still does not go. Sooner than that its last answer may be on its
         * way, and a close over bytes that nobody has read would reset the connection under it.
         */
        private boolean lingers(long now) {
            return phase == Phase.LEAVING && now - since > SILENT_FOR;
        }

        /** Of a request that has begun to come the last byte may be here: only an answer ends its connection. */
        private void end(long now, boolean last) {
            if (rests() || phase == Phase.NEW && now - since > SILENT_FOR) {
                leave();
            } else if (last && lingers(now)) {
                channel.close();
            } else if (last && half() && (body == null || !body.streams())) {
                turnDownBody(new RequestValidator.Refused(HttpResponseStatus.SERVICE_UNAVAILABLE, "it ends"));
            }
        }

        /** Whether a request has begun to come and its last byte is not here. */
        private boolean half() {
            return phase == Phase.READING && lastPart == null;
        }

        private boolean mayGo(long now) {
            long stood = now - since;
            return lingers(now) || phase == Phase.NEW && stood > SILENT_FOR || rests() && stood > LEAST_IDLE;
        }

        /** Guards against clients that are silent, send half of something, do not read, or never go. */
        private void look(long now) {
            long stood = now - since;
            if (lastPart == null && pace != null ? pace.tooSlow(now) : half() && stood > REQUEST_WITHIN) {
                turnDownBody(
                        new RequestValidator.Refused(HttpResponseStatus.REQUEST_TIMEOUT, "the request is not whole"));
            } else if (phase == Phase.NEW && stood > REQUEST_WITHIN
                    || rests() && stood > LONGEST_IDLE
                    || phase == Phase.WRITING && stood > limits.longestStill()
                    || phase == Phase.LEAVING && stood > LEAVE_WITHIN) {
                channel.close();
            }
        }

        /** What is wrong with the head of a request, before its body is read; null if it is in order. */
        private RequestValidator.Refused fault(HttpRequest head) {
            QueryStringDecoder uri = new QueryStringDecoder(head.uri());
            if (uri.rawPath().equals(HEALTH)) {
                return null;
            } else if (!uri.rawPath().equals(PATH)) {
                return new RequestValidator.Refused(HttpResponseStatus.NOT_FOUND, "not found");
            } else if (!head.method().equals(HttpMethod.GET) && !head.method().equals(HttpMethod.POST)) {
                return new RequestValidator.Refused(HttpResponseStatus.METHOD_NOT_ALLOWED, "GET or POST");
            }
            try {
                Request request = request(head, uri);
                if (phase != Phase.LEAVING) {
                    heads.add(request);
                }
                return null;
            } catch (BadRequest | IllegalArgumentException e) {
                return new RequestValidator.Refused(HttpResponseStatus.BAD_REQUEST, String.valueOf(e.getMessage()));
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            reading = true;
            if (phase == Phase.LEAVING || gone) {
                ReferenceCountUtil.release(message);
            } else if (mustWait()) {
                waiting.add(message); // and reading goes on: else nobody would see that the client leaves
            } else {
                feed(message);
            }
        }

        /** Whether what comes is not of the request that is being read, but behind it. */
        private boolean mustWait() {
            return lastPart != null || body == null && (isBusy() || !waiting.isEmpty());
        }

        /** Whether another request may follow on this connection. */
        private boolean mayFollow() {
            return keepAlive
                    && mayKeep()
                    && body == null
                    && !(deaf
                            && waiting.stream()
                                    .noneMatch(m ->
                                            m instanceof LastHttpContent || m instanceof RequestValidator.Refused));
        }

        /**
         * What comes behind an open request is read, as the end of a client that leaves comes behind it, but no more is
         * kept than may be of use. Where it is too much, the rest is thrown away, what has come whole is answered, and
         * the connection ends.
         */
        private final class ReadAhead extends ChannelInboundHandlerAdapter {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object bytes) {
                if (mustWait()) {
                    int more = ((ByteBuf) bytes).readableBytes();
                    Connection.this.ahead += more;
                    HttpFrontend.this.ahead += more;
                    deaf |= Connection.this.ahead > MOST_AHEAD
                            || HttpFrontend.this.ahead > (long) MOST_AHEAD_IN_ALL * MOST_AHEAD;
                }
                if (deaf) {
                    ReferenceCountUtil.release(bytes);
                } else {
                    ctx.fireChannelRead(bytes);
                }
            }
        }

        /** Nothing waits behind a request any more. */
        private void caughtUp() {
            HttpFrontend.this.ahead -= ahead;
            ahead = 0;
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (!whole && phase == Phase.NEW) {
                phase = Phase.READING; // since it came: a byte now and then must not prolong it
            } else if (!whole && phase == Phase.IDLE) {
                enter(Phase.READING);
            }
            whole = false;
            reading = false;
            if (lastPart != null) {
                loop.execute(this::takeLast); // once a close that came with it has been seen
            }
            ctx.fireChannelReadComplete();
        }

        /**
         * Guards against requests that are sent on though their client has left: its end came with their last bytes.
         * Of a long body, too: without its last part it is never begun.
         */
        private void takeLast() {
            LastHttpContent last = lastPart;
            lastPart = null;
            if (last != null && channel.isActive()) {
                whileOwed(() -> readBody(last));
            } else {
                ReferenceCountUtil.release(last);
            }
        }

        /** Takes in what is not to wait: the next request, or more of the one that is being read. */
        private void feed(Object message) {
            if (message instanceof RequestValidator.Refused refused) {
                turnDownBody(refused);
                return;
            }
            if (message instanceof HttpRequest request) {
                if (phase == Phase.NEW || phase == Phase.IDLE) {
                    enter(Phase.READING);
                }
                head = request;
                body = new RequestBody(this, limits.gathered());
                pace = limits.streaming() ? new MinimumTransferRate(limits, node.now()) : null;
                if (HttpUtil.is100ContinueExpected(request)) {
                    channel.writeAndFlush(
                            new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
                }
            }
            if (reading && body != null && message instanceof LastHttpContent last) {
                whole = true;
                lastPart = last;
            } else if (message instanceof HttpContent content) {
                readBody(content);
            }
        }

        private void readBody(HttpContent content) {
            if (body == null) {
                content.release();
                return;
            }
            if (pace != null) {
                pace.came(content.content().readableBytes());
            }
            boolean last = content instanceof LastHttpContent;
            boolean begins = body.add(content.content());
            budget.holds(body.held());
            if (begins && !beginLong()) {
                return;
            }
            if (last) {
                pace = null;
                RequestBody complete = body;
                body = null;
                boolean begun = complete.streams();
                complete.end();
                if (begun) {
                    read(true);
                } else {
                    owed = true;
                    enter(Phase.OPEN);
                    whileOwed(() -> handle(head, complete));
                }
            }
        }

        /** A body longer than is gathered: it goes on as it comes if there is room for one more. */
        private boolean beginLong() {
            if (!budget.reserve()) {
                body.abort();
                body = null;
                pace = null;
                Request unheard = heads.remove();
                owed = true;
                enter(Phase.OPEN);
                refuseUnheard(unheard);
                return false;
            }
            counted++;
            RequestBody begins = body;
            owed = true;
            enter(Phase.OPEN);
            whole = reading;
            whileOwed(() -> handle(head, begins));
            return body != null;
        }

        /** There is no room for it, and the module never hears of it. */
        private void refuseUnheard(Request request) {
            keepAlive = false;
            node.refusedUnheard(request.classIndex());
            refused(node.advice(0));
        }

        private void uncount() {
            budget.release(counted);
            counted = 0;
        }

        /** Ends a request whose rest cannot or will not be read; what has begun to go out never gets its last byte. */
        private void turnDownBody(RequestValidator.Refused verdict) {
            RequestBody broken = body;
            body = null;
            pace = null;
            discardLast();
            if (broken == null || !broken.streams()) {
                owed = true;
                enter(Phase.OPEN);
                whole = reading;
                turnDown(verdict.status(), verdict.why());
            } else {
                Exchange cut = call;
                turnDown(verdict.status(), verdict.why());
                cut(cut, broken);
            }
        }

        /** The client will send no more of a body that has begun to go on. */
        private void cut(Exchange cut, RequestBody broken) {
            if (cut != null) {
                node.cutShort(cut);
            }
            broken.abort();
        }

        /** A client's body is read as fast as an attempt takes it; once it is whole, the client's end is waited for. */
        @Override
        public void read(boolean on) {
            if (pace != null) {
                pace.reading(on, node.now());
            }
            channel.config().setAutoRead(on || body == null);
        }

        private void whileOwed(Runnable handling) {
            try {
                handling.run();
            } catch (RuntimeException e) {
                crashed(e);
            }
        }

        private void turnDown(HttpResponseStatus status, String why) {
            keepAlive = false;
            answer(status, "text/plain", why.getBytes(StandardCharsets.UTF_8), 0);
        }

        private void handle(HttpRequest http, RequestBody complete) {
            keepAlive = HttpUtil.isKeepAlive(http);
            if (!http.uri().startsWith(PATH)) { // only these two have come that far
                answer(
                        takesClients() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                        "text/plain",
                        new byte[0],
                        0);
                return;
            }
            Request request = heads.remove();
            if (busy > mostConnections - RESERVE) {
                refuseUnheard(request);
            } else if (node.knows(request.id())) { // since its head came
                turnDown(HttpResponseStatus.BAD_REQUEST, OPEN_ID);
            } else {
                call = new Exchange(
                        request,
                        http.method(),
                        http.uri(),
                        onward(http.headers()),
                        complete,
                        HttpUtil.getContentLength(http, -1L),
                        this);
                node.accept(call);
            }
        }

        @Override
        public void served(String contentType, byte[] body) {
            answer(HttpResponseStatus.OK, contentType, body, 0);
        }

        @Override
        public void refused(long retryAfter) {
            answer(HttpResponseStatus.SERVICE_UNAVAILABLE, null, new byte[0], retryAfter);
        }

        @Override
        public void failed() {
            answer(HttpResponseStatus.BAD_GATEWAY, null, new byte[0], 0);
        }

        private void answer(HttpResponseStatus status, String contentType, byte[] body, long retryAfter) {
            if (!owed) {
                return;
            }
            owed = false;
            FullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            if (contentType != null) {
                response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
            }
            if (retryAfter > 0) {
                response.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfter / 1e6);
            }
            // What is left of a body is not read on.
            boolean keep = mayFollow();
            HttpUtil.setKeepAlive(response, keep);
            call = null;
            enter(Phase.WRITING);
            writeLast(response, keep);
        }

        private void writeLast(Object message, boolean keep) {
            channel.writeAndFlush(message).addListener(written -> {
                if (written.isSuccess()) {
                    written(keep);
                }
            });
        }

        @Override
        public ResponseStream.Sink begin(ResponseStream.Head head, ResponseStream.Source source) {
            owed = false;
            if (counted == 0 || !call.body.finished()) { // else what was kept for the request serves for the answer
                budget.begun();
                counted++;
            }
            call = null;
            answering = source;
            HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            if (head.length() >= 0) {
                response.headers().set(HttpHeaderNames.CONTENT_LENGTH, head.length());
            } else {
                response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            }
            if (head.contentType() != null) {
                response.headers().set(HttpHeaderNames.CONTENT_TYPE, head.contentType());
            }
            keepAlive = mayFollow();
            HttpUtil.setKeepAlive(response, keepAlive);
            enter(Phase.WRITING);
            channel.write(response);
            return this;
        }

        @Override
        public boolean part(ByteBuf data) {
            channel.writeAndFlush(new DefaultHttpContent(data)).addListener(written -> {
                if (written.isSuccess() && answering != null) {
                    since = node.now(); // it reads on
                }
            });
            budget.holds(Transport.pending(channel));
            return channel.isWritable();
        }

        @Override
        public void end(HttpHeaders trailers) {
            answering = null;
            DefaultLastHttpContent last = new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER);
            trailers.forEach(t -> {
                if (!NO_TRAILERS.contains(t.getKey().toLowerCase(Locale.ROOT))) {
                    last.trailingHeaders().add(t.getKey(), t.getValue());
                }
            });
            writeLast(last, keepAlive);
        }

        /** Without the length or the last chunk that it was promised, the client can tell. */
        @Override
        public void cut() {
            answering = null;
            channel.close();
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (answering != null && channel.isWritable()) {
                answering.demand();
            }
            ctx.fireChannelWritabilityChanged();
        }

        /** Only now comes the next request: answers to a client that does not read must not pile up. */
        private void written(boolean keep) {
            uncount();
            if (!keep || body != null) {
                leave();
                return;
            }
            enter(Phase.IDLE);
            channel.config().setAutoRead(true); // a long body that no attempt took has left it off
            if (waiting.isEmpty()) {
                caughtUp();
            } else {
                loop.execute(this::takeNext);
            }
        }

        /**
         * Ends our side only: closing at once while more is coming would reset the connection, and the client might
         * never get to read its answer.
         */
        private void leave() {
            enter(Phase.LEAVING);
            discardWaiting();
            pace = null;
            if (body != null) {
                body.abort();
                body = null;
            }
            channel.config().setAutoRead(true);
            if (channel instanceof DuplexChannel duplex) {
                duplex.shutdownOutput();
            } else {
                channel.close();
            }
        }

        private void discardLast() {
            ReferenceCountUtil.release(lastPart);
            lastPart = null;
        }

        private void discardWaiting() {
            discardLast();
            waiting.forEach(ReferenceCountUtil::release);
            waiting.clear();
            heads.clear();
            caughtUp();
        }

        private void takeNext() {
            while (!waiting.isEmpty()
                    && channel.isActive()
                    && (phase == Phase.IDLE || phase == Phase.READING && body != null)) {
                feed(waiting.poll());
            }
            if (waiting.isEmpty()) {
                caughtUp();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            discardWaiting();
            RequestBody broken = body;
            body = null;
            pace = null;
            Exchange left = call;
            call = null;
            if (broken != null) {
                cut(broken.streams() ? left : null, broken);
            } else if (left != null) {
                node.clientGone(left);
            }
            if (answering != null) {
                ResponseStream.Source from = answering;
                answering = null;
                from.cancel();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof IOException || cause instanceof PrematureChannelClosureException) {
                ctx.close(); // the client has gone; what it asked for ends in channelInactive
                return;
            }
            crashed(cause);
        }

        /** Guards against a request left without an answer because handling it threw. */
        private void crashed(Throwable cause) {
            node.log().line("request not handled: " + cause);
            keepAlive = false;
            if (call != null) {
                node.giveUp(call);
            } else if (owed) {
                answer(HttpResponseStatus.INTERNAL_SERVER_ERROR, null, new byte[0], 0);
            } else {
                channel.close();
            }
        }
    }
}
