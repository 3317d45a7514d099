package sedgeyoke.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import sedgeyoke.body.BodyBudget;
import sedgeyoke.body.BodyLimits;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;
import sedgeyoke.policy.LoadBalancingPolicy.State;
import sedgeyoke.simulator.SettingsReader;

/**
 * Connections to upstreams, one request on each at a time, and what became of the attempts on them. It resends
 * nothing: each attempt is written once at most, and its end says whether it can have run.
 */
final class UpstreamConnectionPool {
    /** Longer than any body ought to be: on some days answers in order have six times as much. */
    static final int MAX_ANSWER = 512 * 1024;
    /** Share of the settings' idle time after which we close: upstreams may close sooner than they say. */
    private static final double IDLE_SHARE = 0.6;

    private static final long CLOSE_STALE_EVERY_MS = 500;
    /**
     * What comes behind an answer and does not belong to it must be here before the next request goes out: a second
     * answer may come some milliseconds late (STANDING, join), and would be taken for the next one's.
     */
    private static final long REST = 10_000;
    /** An answer that has begun goes on coming until it is whole; one that stands still for so long is spoilt. */
    private static final long STILL_FOR = 100_000;
    /** A loop that is so late first reads what has come. */
    private static final long LATE = 100_000;

    private static final int LEAST_READ = 512;
    private static final int FIRST_READ = 4_096;

    private final EventLoop loop;
    private final Transport transport;
    private final LongSupplier clock;
    private final Settings settings;
    private final List<String> reportNames;
    private final int mostConnections;
    private final Listener listener;
    private final RateLimitedLog log;
    private final BodyLimits bodies;
    private final BodyBudget budget;
    private final long idleTime;
    private final int mostGathered;
    private final Bootstrap bootstrap;
    private final Map<String, Target> targets = new HashMap<>();
    private Set<String> cordoned = Set.of();
    private int connections;

    /** Learns how each attempt ended, once. */
    interface Listener {
        /**
         * A long answer has begun and is passed on as it comes; null if it is of no use any more. Its end is told
         * like any other, without an answer.
         */
        ResponseStream.Sink begun(Attempt attempt, ResponseStream.Head head, ResponseStream.Source source);

        /** The first part of a good answer has come, and not all of it: from here on it is a transfer. */
        void answering(Attempt attempt);

        /** A long body begins to go out on an attempt, and can go out on no other. */
        void taken(Attempt attempt);

        /** The kernel has the last byte of a request: from now on it may have run. */
        void written(Attempt attempt);

        /** The last byte of a long body has gone out. */
        void asked(Attempt attempt);

        /** How late the loop is, in microseconds. */
        long late();

        /** The answer is null where none came that could be read. */
        void ended(Attempt attempt, Outcome outcome, UpstreamResponse answer);
    }

    /** An upstream that discovery has named. */
    private static final class Target {
        final Deque<Connection> idle = new ArrayDeque<>();
        SocketAddress address;
        long launchedAt;
        /** Whether the list would have it used. */
        boolean listed;

        long unreadySince = Long.MAX_VALUE;
    }

    UpstreamConnectionPool(
            EventLoop loop,
            Transport transport,
            LongSupplier clock,
            SettingsReader.Found facts,
            int mostConnections,
            BodyLimits bodies,
            BodyBudget budget,
            Listener listener,
            RateLimitedLog log) {
        this.bodies = bodies;
        this.budget = budget;
        this.mostGathered = bodies.streaming() ? bodies.gathered() : MAX_ANSWER;
        this.loop = loop;
        this.transport = transport;
        this.clock = clock;
        this.settings = facts.settings();
        this.reportNames = facts.reportNames();
        this.mostConnections = mostConnections;
        this.listener = listener;
        this.log = log;
        this.idleTime = (long) (IDLE_SHARE * settings.limits().idleTimeout());
        this.bootstrap = transport.client(loop).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                Math.max(1, settings.limits().connectTimeout() / 1_000));
        loop.scheduleWithFixedDelay(
                this::closeStale, CLOSE_STALE_EVERY_MS, CLOSE_STALE_EVERY_MS, TimeUnit.MILLISECONDS);
    }

    // ---- Upstreams -----------------------------------------------------------------------------------

    /** Takes over a list; called before the module hears of it. */
    void update(EndpointList list) {
        long now = clock.getAsLong();
        if (list.complete()) {
            Set<String> named = new HashSet<>();
            list.members().forEach(m -> named.add(m.upstream().id()));
            List.copyOf(targets.keySet()).stream()
                    .filter(id -> !named.contains(id))
                    .forEach(this::forget);
        }
        for (EndpointList.Member m : list.members()) {
            if (m.upstream().state() == State.REMOVED) {
                forget(m.upstream().id());
                continue;
            }
            Target t = targets.computeIfAbsent(m.upstream().id(), id -> new Target());
            SocketAddress address = transport.at(m.address());
            if (!address.equals(t.address) || m.upstream().launchedAt() != t.launchedAt) {
                // Connections to the process before, or to where it was: the next request on one would be reset.
                closeIdle(t);
            }
            t.address = address;
            t.launchedAt = m.upstream().launchedAt();
            t.listed = m.upstream().state() == State.READY;
            settle(m.upstream().id(), t, now);
        }
    }

    /** Takes over which upstreams are out by hand; called before the module hears of it. */
    void cordons(Set<String> out) {
        cordoned = out;
        long now = clock.getAsLong();
        targets.forEach((id, t) -> settle(id, t, now));
    }

    private void settle(String id, Target t, long now) {
        if (t.listed && !cordoned.contains(id)) {
            t.unreadySince = Long.MAX_VALUE;
        } else {
            retire(t, now);
        }
    }

    /** Whether the list has such an upstream. */
    boolean knows(String upstream) {
        return targets.containsKey(upstream);
    }

    /** An upstream that is gone: ids of machines are new each time, and the table must not grow for ever. */
    private void forget(String upstream) {
        Target t = targets.remove(upstream);
        if (t != null) {
            retire(t, clock.getAsLong());
        }
    }

    private static void retire(Target t, long now) {
        t.unreadySince = Math.min(t.unreadySince, now);
        closeIdle(t);
    }

    void closeIdle(String upstream) {
        Target t = targets.get(upstream);
        if (t != null) {
            closeIdle(t);
        }
    }

    private static void closeIdle(Target t) {
        while (!t.idle.isEmpty()) {
            t.idle.poll().channel.close();
        }
    }

    private void closeStale() {
        long now = clock.getAsLong();
        targets.values().forEach(t -> closeStale(t, now));
    }

    private void closeStale(Target t, long now) {
        while (!t.idle.isEmpty() && now - t.idle.peekLast().idleSince > idleTime) {
            t.idle.pollLast().channel.close();
        }
    }

    // ---- Attempts ------------------------------------------------------------------------------------

    /** Starts an attempt on the connection used last, or on a new one. */
    void start(Attempt attempt) {
        Target t = targets.get(attempt.upstream);
        if (t == null || attempt.call.answered) {
            end(attempt, Outcome.NOT_SENT);
            return;
        }
        Connection c = rested(t);
        if (c != null) {
            write(c, attempt);
        } else {
            connect(t, attempt);
        }
    }

    /** The connection used last that has stood still since its answer; null if there is none. */
    private Connection rested(Target t) {
        long now = clock.getAsLong();
        closeStale(t, now);
        for (Iterator<Connection> idle = t.idle.iterator(); idle.hasNext(); ) {
            Connection c = idle.next();
            if (now - c.idleSince >= REST) {
                idle.remove();
                if (c.channel.isActive() && !c.decoder.hasMore()) {
                    return c;
                }
                c.channel.close();
            }
        }
        return null;
    }

    private void connect(Target t, Attempt attempt) {
        if (connections >= mostConnections && !closeLongestIdle()) {
            // All our sockets are busy: that upstream has nothing of it, as if its table were full.
            end(attempt, Outcome.REJECTED);
            return;
        }
        connections++;
        Connection c = new Connection(t);
        bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        c.channel = channel;
                        channel.closeFuture().addListener(closed -> connections--);
                        channel.pipeline().addLast(new HttpRequestEncoder(), c.decoder, c);
                        if (bodies.streaming()) {
                            channel.config()
                                    .setRecvByteBufAllocator(
                                            new AdaptiveRecvByteBufAllocator(LEAST_READ, FIRST_READ, bodies.read()));
                            Transport.limit(channel, bodies);
                        }
                    }
                })
                .connect(t.address)
                .addListener((ChannelFuture connected) -> {
                    if (loop.inEventLoop()) {
                        connected(c, attempt, connected);
                    } else {
                        // Where no socket can be had, Netty calls on a thread of its own.
                        loop.execute(() -> connected(c, attempt, connected));
                    }
                });
    }

    private void connected(Connection c, Attempt attempt, ChannelFuture connected) {
        if (c.channel == null) {
            connections--; // not even a socket could be had, so no close will count it off
        }
        if (!connected.isSuccess()) {
            end(attempt, Outcome.CONNECT_FAILED);
        } else if (attempt.ended) {
            release(c); // given up meanwhile: nothing is sent, and the connection is as good as new
        } else if (!c.channel.remoteAddress().equals(c.target.address)) {
            // The upstream has moved while the connection came up; another one may be at that address by now.
            c.channel.close();
            end(attempt, Outcome.CONNECT_FAILED);
        } else {
            write(c, attempt);
        }
    }

    private boolean closeLongestIdle() {
        Target longest = null;
        for (Target t : targets.values()) {
            if (!t.idle.isEmpty()
                    && (longest == null || t.idle.peekLast().idleSince < longest.idle.peekLast().idleSince)) {
                longest = t;
            }
        }
        if (longest != null) {
            longest.idle.pollLast().channel.close();
        }
        return longest != null;
    }

    /** The last look before anything goes out: time may have passed while the connection came up. */
    private void write(Connection c, Attempt attempt) {
        if (!attempt.readFirst && listener.late() > LATE) {
            // What came while the loop was held up is read before this runs again: its client may long have left.
            attempt.readFirst = true;
            loop.schedule(() -> write(c, attempt), 0, TimeUnit.MICROSECONDS);
            return;
        }
        long now = clock.getAsLong();
        boolean drained = c.target.unreadySince != Long.MAX_VALUE
                && now - c.target.unreadySince > settings.rules().drainGrace() / 2;
        long leftMs = (attempt.until - now) / 1_000;
        if (attempt.ended || attempt.call.answered || drained || leftMs <= 0 || now >= attempt.repeatUntil) {
            release(c);
            end(attempt, Outcome.NOT_SENT);
            return;
        }
        Exchange call = attempt.call;
        c.current = attempt;
        attempt.connection = c;
        if (call.body.streams()) {
            stream(c, attempt);
            return;
        }
        byte[] body = call.body.bytes();
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, call.method, call.uri, Unpooled.wrappedBuffer(body));
        request.headers().set(call.headers).set("X-Budget-Ms", leftMs);
        if (body.length > 0 || call.method.equals(HttpMethod.POST)) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        c.sent = c.channel.writeAndFlush(request);
        c.sent.addListener(sent -> {
            // Success means that the kernel has it all; a failure proves that the last byte never went out.
            if (sent.isSuccess()) {
                if (!attempt.written) {
                    listener.written(attempt);
                }
            } else {
                c.channel.close();
                c.fail(Outcome.CONNECT_FAILED);
            }
        });
    }

    /** A long body goes out as it comes; the head says how long it is if the client did. */
    private void stream(Connection c, Attempt attempt) {
        Exchange call = attempt.call;
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, call.method, call.uri);
        head.headers().set(call.headers).set("X-Budget-Ms", call.request.timeLeft() / 1_000);
        if (call.length >= 0) {
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.length);
        } else {
            head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        c.sent = null; // its last byte is the upload's
        c.upload = c.new Upload(attempt);
        c.channel.write(head);
        listener.taken(attempt);
        call.body.streamTo(c.upload);
    }

    /**
     * Stops waiting; what is out is closed, what was not yet sent stays unsent. Closed before the end is told: the
     * module may answer that with another attempt, and where two copies may not be out at once, the upstreams would
     * see two on open connections.
     */
    void stop(Attempt attempt, Outcome outcome) {
        Connection c = attempt.connection;
        if (c != null && c.current == attempt) {
            c.current = null;
            c.cutAnswer();
            c.channel.close();
        }
        end(attempt, outcome);
    }

    private void end(Attempt attempt, Outcome outcome) {
        listener.ended(attempt, outcome, null);
    }

    private void release(Connection c) {
        if (c.channel.isActive()
                && c.target.unreadySince == Long.MAX_VALUE
                && c.channel.remoteAddress().equals(c.target.address)) {
            c.idleSince = clock.getAsLong();
            c.target.idle.push(c);
        } else {
            c.channel.close();
        }
    }

    /**
     * A connection to an upstream and the attempt on it, if any. An answer is handed on only once all is read that
     * came with it: the module may send the next request at once, and must not be given what lies behind.
     */
    final class Connection extends SimpleChannelInboundHandler<HttpObject> implements ResponseStream.Source {
        private final Target target;
        private final UpstreamResponseDecoder decoder =
                new UpstreamResponseDecoder(bodies.streaming() ? bodies.longestBody() : MAX_ANSWER, bodies.part());
        private Channel channel;
        private Attempt current;
        /** Done once the kernel has all of the request that is on the connection, told or not yet told. */
        private ChannelFuture sent;

        private UpstreamResponse answer;
        private Attempt begun;
        private long readAt;
        private long idleSince;
        /** Of the answer that is being read. */
        private HttpResponse head;

        private final BodyAccumulator gathered = new BodyAccumulator(mostGathered);
        /** Where the answer goes as it comes, and whether all of it has come. */
        private ResponseStream.Sink sink;

        private boolean passedOn;
        /** Of the answer that is being read: whether the upstream ends the connection with it, and its bytes so far. */
        private boolean lastHere;

        private long length;
        private final ReadOverflowBuffer rest = new ReadOverflowBuffer();
        private boolean paused;
        private boolean informational;
        /** The body that goes out in parts. */
        private Upload upload;

        Connection(Target target) {
            this.target = target;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (message.decoderResult().isFailure()) {
                spoilt(message.decoderResult().cause());
            } else if (message instanceof HttpResponse response) {
                informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
                if (!informational) {
                    begin(ctx, response);
                }
            }
            if (message instanceof HttpContent content && !informational && head != null) {
                read(ctx, content);
            }
        }

        private void begin(ChannelHandlerContext ctx, HttpResponse response) {
            if (current == null || answer != null || passedOn) {
                ctx.close(); // a second answer to one request
                return;
            }
            head = response;
            lastHere = !HttpUtil.isKeepAlive(response);
            length = 0;
            gathered.clear();
        }

        private void read(ChannelHandlerContext ctx, HttpContent content) {
            if (current == null) {
                ctx.close();
                return;
            }
            ByteBuf part = content.content();
            length += part.readableBytes();
            if (bodies.streaming() && length > bodies.longestBody()) {
                spoilt("longer than " + bodies.longestBody() + " bytes"); // nothing in its head told
                return;
            }
            if (sink == null && gathered.size() + part.readableBytes() > mostGathered && !passOn()) {
                return;
            }
            if (sink != null) {
                if (part.isReadable()) {
                    passOn(part.retain());
                }
            } else {
                gathered.add(part);
            }
            if (content instanceof LastHttpContent last) {
                whole(last);
            }
        }

        /** More than is gathered: from now on it goes to the client as it comes, if that may be. */
        private boolean passOn() {
            if (!bodies.streaming() || UpstreamResponse.outcome(head) != Outcome.OK) {
                spoilt("longer than " + mostGathered + " bytes");
                return false;
            }
            sink = listener.begun(
                    current,
                    new ResponseStream.Head(
                            head.headers().get(HttpHeaderNames.CONTENT_TYPE), HttpUtil.getContentLength(head, -1L)),
                    this);
            if (sink == null) { // another attempt was faster
                channel.close();
                fail(Outcome.RESET);
                return false;
            }
            passOn(Unpooled.wrappedBuffer(gathered.take()));
            return true;
        }

        private void passOn(ByteBuf part) {
            if (paused) {
                rest.add(part);
            } else {
                paused = !sink.part(part);
            }
            if (paused) {
                channel.config().setAutoRead(false);
            }
        }

        private void whole(LastHttpContent last) {
            if (sink != null) {
                passedOn = true;
                if (!rest.isEmpty()) {
                    sink.part(rest.take());
                }
                sink.end(last.trailingHeaders());
            } else {
                answer = UpstreamResponse.of(head, gathered.take(), reportNames, log);
            }
            head = null;
        }

        @Override
        public void demand() {
            readAt = clock.getAsLong();
            paused = false;
            if (sink != null && !rest.isEmpty()) {
                passOn(rest.take());
            }
            if (!paused) {
                channel.config().setAutoRead(true);
            }
        }

        @Override
        public void cancel() {
            if (current != null) {
                stop(current, Outcome.CANCELLED);
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (upload != null && ctx.channel().isWritable()) {
                upload.attempt.call.body.demand();
            }
            ctx.fireChannelWritabilityChanged();
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (passedOn) {
                endPassedOn();
            } else if (answer != null) {
                handOn();
            } else if (current == null) {
                ctx.close(); // whatever has come was not asked for
            } else {
                readAt = clock.getAsLong();
                if (begun != current) {
                    begun = current;
                    watch(current, stillFor());
                    if (bodies.streaming() && head != null && UpstreamResponse.outcome(head) == Outcome.OK) {
                        listener.answering(current);
                        passOnIfSlow(current);
                    }
                }
            }
            ctx.fireChannelReadComplete();
        }

        private void endPassedOn() {
            Attempt attempt = current;
            boolean reusable = attempt.written && !lastHere && !decoder.hasMore();
            forgetAnswer();
            current = null;
            if (reusable) {
                release(this);
            } else {
                channel.close();
            }
            listener.ended(attempt, Outcome.OK, null);
        }

        private void forgetAnswer() {
            sink = null;
            head = null;
            passedOn = false;
            paused = false;
            rest.release();
            gathered.clear();
            if (upload != null) {
                upload.attempt.call.body.detach(upload);
                upload = null;
            }
        }

        private long stillFor() {
            return bodies.streaming() ? bodies.longestStill() : STILL_FOR;
        }

        /** Guards against an upstream taken for one that hangs, and a client kept waiting, by a slow short answer. */
        private void passOnIfSlow(Attempt attempt) {
            loop.schedule(
                    () -> {
                        if (current == attempt && sink == null && answer == null && head != null) {
                            passOn();
                        }
                    },
                    STILL_FOR,
                    TimeUnit.MICROSECONDS);
        }

        /** Guards against half an answer on a connection that stays open. */
        private void watch(Attempt attempt, long delay) {
            loop.schedule(
                    () -> {
                        boolean held = !channel.config().isAutoRead(); // by us, as its client reads too slowly
                        long left = held ? stillFor() : readAt + stillFor() - clock.getAsLong();
                        if (current == attempt && left > 0) {
                            watch(attempt, left);
                        } else if (current == attempt) {
                            spoilt("it stands still");
                        }
                    },
                    delay,
                    TimeUnit.MICROSECONDS);
        }

        private void handOn() {
            Attempt attempt = current;
            UpstreamResponse whole = answer;
            current = null;
            answer = null;
            forgetAnswer();
            if (attempt.written && !lastHere && !decoder.hasMore()) {
                release(this);
            } else {
                channel.close();
            }
            listener.ended(attempt, whole.outcome(), whole);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            target.idle.remove(this);
            fail(broken());
        }

        /**
         * What a break means for the attempt. Guards against one that is taken for never run though all of it is out:
         * that the write is done may be told later than that the connection broke.
         */
        private Outcome broken() {
            if (current != null && !current.written && sent != null && sent.isSuccess()) {
                listener.written(current);
            }
            return current != null && !current.written ? Outcome.CONNECT_FAILED : Outcome.RESET;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof IOException) {
                // Before the close: an answer that goes on until its connection ends would be taken for whole.
                fail(broken());
                ctx.close();
            } else {
                spoilt(cause);
            }
        }

        /** It has run, and the rest of it must not be read as the next answer. A whole one before it stands. */
        private void spoilt(Object why) {
            log.line("answer of an upstream given up: " + why);
            channel.close();
            fail(Outcome.ERROR);
        }

        private void fail(Outcome outcome) {
            if (answer != null) {
                handOn();
            } else if (current != null) {
                Attempt attempt = current;
                current = null;
                cutAnswer();
                listener.ended(attempt, outcome, null);
            }
        }

        /** What was passed on of an answer is not whole, and the client has to see that. */
        private void cutAnswer() {
            ResponseStream.Sink to = sink;
            boolean unfinished = to != null && !passedOn;
            forgetAnswer();
            if (unfinished) {
                to.cut();
            }
        }

        /** Where a long body goes out; its last byte makes the attempt one that may have run. */
        private final class Upload implements RequestBody.Sink {
            private final Attempt attempt;

            Upload(Attempt attempt) {
                this.attempt = attempt;
            }

            @Override
            public boolean part(ByteBuf data) {
                channel.writeAndFlush(new DefaultHttpContent(data)).addListener(this::sent);
                budget.holds(Transport.pending(channel) + attempt.call.body.held());
                return channel.isWritable();
            }

            @Override
            public void end() {
                channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(sent -> {
                    if (sent.isSuccess() && current == attempt) {
                        listener.written(attempt);
                        listener.asked(attempt);
                    } else {
                        sent(sent);
                    }
                });
            }

            @Override
            public void abort() {
                channel.close();
            }

            private void sent(Future<? super Void> sent) {
                if (!sent.isSuccess() && current == attempt) {
                    channel.close();
                    fail(attempt.written ? Outcome.RESET : Outcome.CONNECT_FAILED);
                }
            }
        }
    }
}
