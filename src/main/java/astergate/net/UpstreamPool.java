package astergate.net;

import astergate.Balancer.LoadReport;
import astergate.Balancer.Outcome;
import astergate.Balancer.Settings;
import astergate.Balancer.State;
import astergate.wire.SettingsReader;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Connections to upstreams, one request on each at a time, and what became of the attempts on them. It resends
 * nothing: each attempt is written once at most, and its end says whether it can have run.
 */
final class UpstreamPool {
    static final int MAX_BODY = 64 * 1024;
    /** Share of the settings' idle time after which we close: upstreams may close sooner than they say. */
    private static final double IDLE_SHARE = 0.6;
    private static final long CLOSE_STALE_EVERY_MS = 500;

    private final EventLoop loop;
    private final LongSupplier clock;
    private final Settings settings;
    private final List<String> reportNames;
    private final int mostConnections;
    private final Listener listener;
    private final Log log;
    private final long idleTime;
    private final Bootstrap bootstrap;
    private final Map<String, Target> targets = new HashMap<>();
    private int connections;

    /** Learns how each attempt ended, once. */
    interface Listener {
        void ended(Attempt attempt, Outcome outcome, LoadReport load, String contentType, byte[] body);
    }

    /** An upstream that discovery has named. */
    private static final class Target {
        final Deque<Connection> idle = new ArrayDeque<>();
        InetSocketAddress address;
        long launchedAt;
        long unreadySince = Long.MAX_VALUE;
    }

    UpstreamPool(EventLoop loop, LongSupplier clock, SettingsReader.Found facts, int mostConnections,
            Listener listener, Log log) {
        this.loop = loop;
        this.clock = clock;
        this.settings = facts.settings();
        this.reportNames = facts.reportNames();
        this.mostConnections = mostConnections;
        this.listener = listener;
        this.log = log;
        this.idleTime = (long) (IDLE_SHARE * settings.limits().connectIdle());
        this.bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS,
                        (int) Math.max(1, settings.limits().connectTimeout() / 1_000));
        loop.scheduleWithFixedDelay(this::closeStale, CLOSE_STALE_EVERY_MS, CLOSE_STALE_EVERY_MS,
                TimeUnit.MILLISECONDS);
    }

    // ---- Upstreams -----------------------------------------------------------------------------------

    /** Takes over a list; called before the module hears of it. */
    void update(MemberList list) {
        long now = clock.getAsLong();
        if (list.complete()) {
            Set<String> named = new HashSet<>();
            list.members().forEach(m -> named.add(m.upstream().id()));
            List.copyOf(targets.keySet()).stream().filter(id -> !named.contains(id)).forEach(this::forget);
        }
        for (MemberList.Member m : list.members()) {
            if (m.upstream().state() == State.GONE) {
                forget(m.upstream().id());
                continue;
            }
            Target t = targets.computeIfAbsent(m.upstream().id(), id -> new Target());
            if (!m.address().equals(t.address) || m.upstream().launchedAt() != t.launchedAt) {
                // Connections to the process before, or to where it was: the next request on one would be reset.
                closeIdle(t);
            }
            t.address = m.address();
            t.launchedAt = m.upstream().launchedAt();
            if (m.upstream().state() == State.READY) {
                t.unreadySince = Long.MAX_VALUE;
            } else {
                retire(t, now);
            }
        }
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
        for (Target t : targets.values()) {
            while (!t.idle.isEmpty() && now - t.idle.peekLast().idleSince > idleTime) {
                t.idle.pollLast().channel.close();
            }
        }
    }

    // ---- Attempts ------------------------------------------------------------------------------------

    /** Starts an attempt on the connection used last, or on a new one. */
    void start(Attempt attempt) {
        Target t = targets.get(attempt.upstream);
        if (t == null) {
            end(attempt, Outcome.MOOT);
            return;
        }
        closeStale();
        Connection c = t.idle.poll();
        if (c != null) {
            write(c, attempt);
        } else {
            connect(t, attempt);
        }
    }

    private void connect(Target t, Attempt attempt) {
        if (connections >= mostConnections && !closeLongestIdle()) {
            // All our sockets are busy: that upstream has nothing of it, as if its table were full.
            end(attempt, Outcome.FULL);
            return;
        }
        connections++;
        Connection c = new Connection(t);
        bootstrap.clone().handler(new ChannelInitializer<SocketChannel>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                c.channel = channel;
                channel.closeFuture().addListener(closed -> connections--);
                channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MAX_BODY), c);
            }
        }).connect(t.address).addListener(connected -> {
            if (c.channel == null) {
                connections--; // not even a socket could be had, so no close will count it off
            }
            if (!connected.isSuccess()) {
                end(attempt, Outcome.CONNECT_FAILED);
            } else if (attempt.ended) {
                release(c); // given up meanwhile: nothing is sent, and the connection is as good as new
            } else {
                write(c, attempt);
            }
        });
    }

    private boolean closeLongestIdle() {
        Target longest = null;
        for (Target t : targets.values()) {
            if (!t.idle.isEmpty() && (longest == null
                    || t.idle.peekLast().idleSince < longest.idle.peekLast().idleSince)) {
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
        long now = clock.getAsLong();
        boolean drained = c.target.unreadySince != Long.MAX_VALUE
                && now - c.target.unreadySince > settings.rules().drainGrace() / 2;
        long leftMs = (attempt.until - now) / 1_000;
        if (attempt.call.answered || drained || leftMs <= 0) {
            release(c);
            end(attempt, Outcome.MOOT);
            return;
        }
        Call call = attempt.call;
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, call.method, call.uri,
                Unpooled.wrappedBuffer(call.body));
        request.headers().set(call.headers).set("X-Budget-Ms", leftMs);
        if (call.body.length > 0 || call.method.equals(HttpMethod.POST)) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body.length);
        }
        c.current = attempt;
        attempt.connection = c;
        c.channel.writeAndFlush(request).addListener(sent -> {
            // Success means that the kernel has it all; a failure proves that the last byte never went out.
            if (sent.isSuccess()) {
                attempt.written = true;
            } else {
                c.channel.close();
                c.finish(Outcome.CONNECT_FAILED, null, null, null);
            }
        });
    }

    /** Stops waiting; what is out is closed, what was not yet sent stays unsent. */
    void stop(Attempt attempt, Outcome outcome) {
        Connection c = attempt.connection;
        end(attempt, outcome);
        if (c != null && c.current == attempt) {
            c.current = null;
            c.channel.close();
        }
    }

    private void end(Attempt attempt, Outcome outcome) {
        listener.ended(attempt, outcome, null, null, null);
    }

    private void release(Connection c) {
        if (c.channel.isActive() && c.target.unreadySince == Long.MAX_VALUE
                && c.channel.remoteAddress().equals(c.target.address)) {
            c.idleSince = clock.getAsLong();
            c.target.idle.push(c);
        } else {
            c.channel.close();
        }
    }

    /** A connection to an upstream and the attempt on it, if any. */
    final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Target target;
        private Channel channel;
        private Attempt current;
        private long idleSince;

        Connection(Target target) {
            this.target = target;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                return;
            }
            if (current == null || response.decoderResult().isFailure()) {
                log.line("malformed answer from an upstream");
                ctx.close();
                finish(Outcome.ERROR, null, null, null);
                return;
            }
            Outcome outcome = outcome(response);
            LoadReport load = loadReport(response.headers().get("X-Load-Report"));
            String type = response.headers().get(HttpHeaderNames.CONTENT_TYPE);
            byte[] body = ByteBufUtil.getBytes(response.content());
            Attempt attempt = current;
            current = null;
            if (attempt.written && HttpUtil.isKeepAlive(response)) {
                release(this);
            } else {
                ctx.close();
            }
            listener.ended(attempt, outcome, load, type, body);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            target.idle.remove(this);
            finish(current != null && !current.written ? Outcome.CONNECT_FAILED : Outcome.RESET, null, null, null);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                // An over-long answer, mostly; it has run, and its rest must not be read as the next answer.
                log.line("answer of an upstream given up: " + cause);
                finish(Outcome.ERROR, null, null, null);
            }
            ctx.close();
        }

        private void finish(Outcome outcome, LoadReport load, String type, byte[] body) {
            Attempt attempt = current;
            current = null;
            if (attempt != null) {
                listener.ended(attempt, outcome, load, type, body);
            }
        }
    }

    // ---- Answers -------------------------------------------------------------------------------------

    private static Outcome outcome(FullHttpResponse response) {
        int status = response.status().code();
        if (status == 200) {
            return Outcome.OK;
        }
        boolean rejected = "1".equals(response.headers().get("X-Rejected"));
        return rejected && (status == 503 || status == 504) ? Outcome.FULL : Outcome.ERROR;
    }

    private LoadReport loadReport(String json) {
        if (json == null) {
            return null;
        }
        try {
            JsonNode values = Config.JSON.readTree(json);
            return SettingsReader.loadReport(name -> reportNames.contains(name)
                    ? values.path(name).asDouble(Double.NaN) : Double.NaN);
        } catch (JsonProcessingException e) {
            log.line("malformed load report from an upstream");
            return null;
        }
    }
}
