package astergate.net;

import astergate.Balancer.Effect;
import astergate.Balancer.Request;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * HTTP from clients. Requests that are not in order are turned down here and never reach the module; all others
 * get one answer each, in whatever way they end.
 */
final class Frontend {
    private static final String PATH = "/api";
    /** Share of the sockets for clients; at that many, connections are no longer accepted. */
    private static final double CLIENT_SHARE = 0.55;
    /** So many below that, new ones are refused what they ask for, if no idle one can be closed for them. */
    private static final int REFUSING = 32;
    /** A connection idle for less may have a request on its way, which closing it would lose. */
    private static final long IDLE_FOR = 500_000;
    private static final long MAKE_ROOM_EVERY_MS = 100;
    private static final long LONGEST_BUDGET_MS = 3_600_000;
    private static final List<CharSequence> PASSED_ON = List.of(HttpHeaderNames.HOST, "X-Call-Id",
            "Idempotency-Key", "X-Call-Class", "X-Caller", HttpHeaderNames.CONTENT_TYPE);

    private final EventLoop loop;
    private final Config config;
    private final Transport transport;
    private final Node node;
    private final int mostConnections;
    private final Set<Connection> idle = new LinkedHashSet<>();
    private int connections;
    private Channel listener;
    private boolean draining;

    /** A request that is not in order; the message goes to the client. */
    private static final class BadRequest extends Exception {
        private static final long serialVersionUID = 1L;

        BadRequest(String message) {
            super(message);
        }
    }

    Frontend(EventLoop loop, Config config, Node node, Transport transport) {
        this.transport = transport;
        this.loop = loop;
        this.config = config;
        this.node = node;
        this.mostConnections = (int) (CLIENT_SHARE * config.sockets());
    }

    /** Starts listening; the future is done when that has worked or failed. */
    ChannelFuture bind() {
        loop.scheduleWithFixedDelay(this::makeRoom, MAKE_ROOM_EVERY_MS, MAKE_ROOM_EVERY_MS, TimeUnit.MILLISECONDS);
        return transport.server(loop)
                .handler(new ChannelInitializer<ServerChannel>() {
                    @Override
                    protected void initChannel(ServerChannel ch) {
                        listener = ch; // here, on the loop: a client may be there before the caller's thread goes on
                    }
                })
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new HttpServerCodec(),
                                new HttpObjectAggregator(UpstreamPool.MAX_BODY, true), new Connection(ch));
                    }
                }).bind(transport.at(config.listen()));
    }

    /** Guards against running out of sockets: clients that have been idle longest make way for new ones. */
    private void makeRoom() {
        Iterator<Connection> longest = idle.iterator();
        while (connections > mostConnections - REFUSING && longest.hasNext()) {
            Connection c = longest.next();
            if (node.now() - c.idleSince <= IDLE_FOR) {
                return;
            }
            longest.remove();
            c.channel.close();
        }
    }

    /** From now on every answer closes its connection, and the front is told not to send us more. */
    void drain() {
        draining = true;
    }

    /** Closes the connections that wait for a request, and ends accepting. */
    void close() {
        List.copyOf(idle).forEach(c -> c.channel.close());
        listener.close();
    }

    /** Whether the last client connection is gone, with its answer written. */
    boolean closed() {
        return connections == 0;
    }

    // ---- Reading requests ----------------------------------------------------------------------------

    private Call read(FullHttpRequest http, QueryStringDecoder query, Call.Reply reply) throws BadRequest {
        HttpHeaders h = http.headers();
        String id = h.get("X-Call-Id");
        require(id != null && !id.isBlank(), "X-Call-Id");
        require(!node.knows(id), "X-Call-Id (a request with it is open)");
        int cls = config.facts().classNames().indexOf(h.get("X-Call-Class"));
        require(cls >= 0, "X-Call-Class");
        long budget = number(h.get("X-Budget-Ms"));
        require(budget > 0 && budget <= LONGEST_BUDGET_MS, "X-Budget-Ms");
        Effect effect = config.facts().settings().classes().get(cls).effect();
        // Without a key upstreams cannot drop repeats, and the module would send some.
        require(effect != Effect.KEYED || h.contains("Idempotency-Key"), "Idempotency-Key");
        int tenant = config.facts().tenantNames().isEmpty() ? 0
                : config.facts().tenantNames().indexOf(h.get("X-Caller"));
        String key = query.parameters().getOrDefault("obj", List.of()).stream().findFirst().orElse(null);
        HttpHeaders onward = new DefaultHttpHeaders();
        for (CharSequence name : PASSED_ON) {
            if (h.contains(name)) {
                onward.set(name, h.get(name));
            }
        }
        Request request = new Request(id, cls, tenant, key, Math.max(0, number(h.get("X-Call-Cost"))),
                budget * 1_000, !http.method().equals(HttpMethod.GET), "1".equals(h.get("X-Again")));
        return new Call(request, http.method(), http.uri(), onward, ByteBufUtil.getBytes(http.content()), reply);
    }

    private static void require(boolean ok, String what) throws BadRequest {
        if (!ok) {
            throw new BadRequest("missing or malformed: " + what);
        }
    }

    /** A whole number that is not negative; -1 for anything else. */
    private static long number(String text) {
        return text != null && text.matches("[0-9]{1,12}") ? Long.parseLong(text) : -1;
    }

    // ---- Connections ---------------------------------------------------------------------------------

    /** One connection of a client: one request at a time, further ones wait for their turn. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> implements Call.Reply {
        private final Channel channel;
        private final Queue<FullHttpRequest> waiting = new ArrayDeque<>();
        private Call call;
        /** From the arrival of a request until its answer is written and the connection is free again. */
        private boolean answering;
        /** From the arrival of a request until its answer: guards against a second one. */
        private boolean owed;
        private boolean keepAlive;
        private boolean refuseAll;
        private long idleSince;

        Connection(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections++;
            channel.closeFuture().addListener(closed -> {
                connections--;
                listener.config().setAutoRead(connections < mostConnections);
            });
            makeRoom();
            refuseAll = connections > mostConnections - REFUSING;
            listener.config().setAutoRead(connections < mostConnections);
            rest();
        }

        private void rest() {
            idleSince = node.now();
            idle.add(this);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest http) {
            if (answering) {
                waiting.add(http.retain());
                channel.config().setAutoRead(false);
            } else {
                handle(http);
            }
        }

        private void handle(FullHttpRequest http) {
            answering = true;
            owed = true;
            idle.remove(this);
            keepAlive = HttpUtil.isKeepAlive(http);
            QueryStringDecoder query = new QueryStringDecoder(http.uri());
            if (http.decoderResult().isFailure()) {
                keepAlive = false;
                answer(HttpResponseStatus.BAD_REQUEST, "text/plain", "malformed request".getBytes(), 0);
            } else if (query.rawPath().equals("/_health")) {
                answer(node.ready() && !draining ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                        "text/plain", new byte[0], 0);
            } else if (!query.rawPath().equals(PATH)) {
                answer(HttpResponseStatus.NOT_FOUND, "text/plain", new byte[0], 0);
            } else if (!http.method().equals(HttpMethod.GET) && !http.method().equals(HttpMethod.POST)) {
                answer(HttpResponseStatus.METHOD_NOT_ALLOWED, "text/plain", new byte[0], 0);
            } else if (refuseAll) {
                keepAlive = false;
                refused(node.advice(0));
            } else {
                accept(http, query);
            }
        }

        private void accept(FullHttpRequest http, QueryStringDecoder query) {
            try {
                call = read(http, query, this);
            } catch (BadRequest | IllegalArgumentException e) {
                answer(HttpResponseStatus.BAD_REQUEST, "text/plain", String.valueOf(e.getMessage()).getBytes(), 0);
                return;
            }
            node.accept(call);
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
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                    Unpooled.wrappedBuffer(body));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            if (contentType != null) {
                response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
            }
            if (retryAfter > 0) {
                response.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfter / 1e6);
            }
            boolean keep = keepAlive && !draining;
            HttpUtil.setKeepAlive(response, keep);
            call = null;
            ChannelFuture written = channel.writeAndFlush(response);
            if (!keep) {
                written.addListener(ChannelFutureListener.CLOSE);
                return;
            }
            answering = false;
            if (waiting.isEmpty()) {
                rest();
            } else {
                loop.execute(this::takeNext);
            }
        }

        private void takeNext() {
            if (!answering && !waiting.isEmpty() && channel.isActive()) {
                FullHttpRequest http = waiting.poll();
                channel.config().setAutoRead(waiting.isEmpty());
                try {
                    handle(http);
                } catch (RuntimeException e) {
                    crashed(e);
                } finally {
                    http.release();
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idle.remove(this);
            waiting.forEach(FullHttpRequest::release);
            waiting.clear();
            if (call != null) {
                Call left = call;
                call = null;
                node.clientGone(left);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof IOException) {
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
