package sedgeyoke.proxy;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Asks discovery for the whole list once and then watches it, one call after the other without a pause. A call
 * that fails changes nothing: the list as last heard stays in force. Where discovery is one service for all balancers,
 * the list of the configuration is the one to go on from: each line that is asked for is work there, and a dozen
 * balancers that start at once and ask for all of it keep each other from getting any.
 */
final class DiscoveryClient {
    /** How long a watch waits for news; short, so that one that has fallen silent is noticed. */
    private static final int HOLD_MS = 2_000;
    /** A watch that ends sooner than that without news is not renewed at once: it would go on without a rest. */
    private static final long SHORTEST_WATCH_NS = 50_000_000;
    /**
     * How long a call for the whole list may take. Giving up sooner helps nobody where discovery works through calls
     * in turn: what it was about to answer is thrown away, and the next call stands at the end of the queue.
     */
    private static final int PATIENCE_MS = 5_000;
    /** How much longer than it holds a watch may take: changes that it does not bring reach nobody meanwhile. */
    private static final int WATCH_PATIENCE_MS = 2_500;
    /**
     * How long the first byte of an answer may take where lists are pushed: the agent stands on this machine and
     * answers at once, or is silent. What a silent watch misses counts as told 6 s after it fell silent, and what the
     * agent gets at the end of an outage at once (STANDING), so that two silent calls in a row must cost less than the
     * one, and a call that is silent during an outage less than the time that drains leave.
     */
    private static final int LONGEST_SILENCE_MS = 500;
    /** A loop on a part of a core is late itself by some such time. */
    private static final int LEAST_SILENCE_MS = 100;

    private static final int CONNECT_TIMEOUT_MS = 1_000;
    /** The longest list: far more than any fleet's, and little enough to hold at once. */
    private static final int LONGEST_LIST = 1 << 20;

    private static final int LEAST_PAUSE_MS = 20;
    private static final int MORE_PAUSE_MS = 80;

    private final EventLoop loop;
    private final BalancerConfig config;
    private final Transport transport;
    private final Consumer<EndpointList> listener;
    private final RateLimitedLog log;
    private final Random random;
    private final Bootstrap bootstrap;
    private boolean watching;
    private boolean calling;
    private boolean whole;
    private boolean listed;
    /** Whether the listener knows of a failed call and of none since that went well. */
    private boolean failing;

    private long revision;
    private InetSocketAddress address;
    private Channel channel;
    private Future<?> patience;
    private long askedAt;
    /** Whether something has come of the answer that is waited for. */
    private boolean begun;

    private final boolean pushed;
    /** How long nothing at all may come where lists are pushed; drains leave at least twice that. */
    private final int silence;
    /** A call to an agent failed: the next asks what there is and does not wait for news, which silence looks like. */
    private boolean doubting;

    /** The listener gets each list, and null for a failed call where lists are asked for. */
    DiscoveryClient(
            EventLoop loop,
            BalancerConfig config,
            Transport transport,
            Consumer<EndpointList> listener,
            RateLimitedLog log) {
        this.loop = loop;
        this.config = config;
        this.listener = listener;
        this.log = log;
        this.transport = transport;
        this.random = new Random(config.seed());
        this.address = config.discovery();
        this.pushed = !config.facts().settings().subscribesToEndpoints();
        long grace = config.facts().settings().rules().drainGrace() / 1_000;
        this.silence = (int) Math.max(LEAST_SILENCE_MS, Math.min(LONGEST_SILENCE_MS, grace / 2));
        this.whole = !config.facts().settings().subscribesToEndpoints()
                || config.known().members().isEmpty();
        this.listed = !whole; // a watch is answered only when there is news: clients must not wait for that
        this.revision = config.known().revision();
        this.bootstrap = transport
                .client(loop)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, pushed ? silence : CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline()
                                .addLast(
                                        new FirstBytes(),
                                        new HttpClientCodec(),
                                        new HttpObjectAggregator(LONGEST_LIST),
                                        new Answers());
                    }
                });
    }

    /** Whether discovery has answered since the start, or need not have: a watch goes on from the known list. */
    boolean listed() {
        return listed;
    }

    /** Keeps watching, or stops after the call that is out. */
    void watch(boolean on) {
        watching = on;
        if (on && !calling) {
            call();
        }
    }

    /** Asks for the whole list at once; a watch that waits is broken off for it. */
    void fetch() {
        whole = true;
        if (calling && channel != null) {
            channel.close();
        } else if (!calling) {
            call();
        }
    }

    /**
     * Goes on at another address, where revisions may be others: the whole list is asked for there. The list as
     * last heard stays in force until then, and what the old address still says is not listened to.
     */
    void moveTo(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        whole = true;
        Channel old = channel;
        channel = null;
        if (old != null) {
            old.close();
        }
        if (patience != null) {
            patience.cancel(false);
        }
        if (calling) {
            call();
        }
    }

    private void call() {
        calling = true;
        if (channel != null && channel.isActive()) {
            write();
            return;
        }
        ChannelFuture connecting = bootstrap.connect(transport.at(address));
        channel = connecting.channel();
        // Where no socket can be had, the listener would run on a thread of Netty's and not on the loop.
        connecting.addListener(done -> loop.execute(() -> connected(connecting)));
    }

    private void connected(ChannelFuture connecting) {
        if (connecting.channel() != channel) {
            connecting.channel().close(); // the address has changed while it came up
        } else if (connecting.isSuccess()) {
            write();
        } else {
            failed("no connection");
        }
    }

    private void write() {
        int hold = whole || doubting ? 0 : HOLD_MS;
        String uri = "/catalog/members" + (whole ? "" : "?from=" + revision + "&hold_ms=" + hold);
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
        request.headers().set(HttpHeaderNames.HOST, address.getAddress().getHostAddress());
        askedAt = System.nanoTime();
        begun = false;
        patience(pushed ? hold + silence : whole ? PATIENCE_MS : HOLD_MS + WATCH_PATIENCE_MS);
        channel.writeAndFlush(request);
    }

    private void patience(int ms) {
        Channel asked = channel;
        patience = loop.schedule(() -> asked.close(), ms, TimeUnit.MILLISECONDS);
    }

    private void failed(String why) {
        calling = false;
        doubting = pushed;
        log.line("discovery: " + why);
        if (channel != null) {
            Channel old = channel;
            channel = null;
            old.close(); // an answer that was not understood may have left anything behind on it
        }
        if (config.facts().settings().subscribesToEndpoints()) {
            // There the module decides when to ask again.
            watching = false;
            failing = true;
            listener.accept(null);
        } else {
            again();
        }
    }

    private void answered(FullHttpResponse response) {
        EndpointList list;
        try {
            if (response.status().code() != 200 || response.decoderResult().isFailure()) {
                failed("answered " + response.status());
                return;
            }
            list = EndpointList.read(
                    BalancerConfig.JSON.readTree(ByteBufUtil.getBytes(response.content())), config.facts());
        } catch (EndpointList.Malformed | JsonProcessingException e) {
            failed("malformed list: " + e.getMessage().lines().findFirst().orElse(""));
            return;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        if (!list.complete() && list.revision() < revision) {
            whole = true; // another discovery, or one that lost its memory: what it counts from is not what we have
            failed("revision " + list.revision() + " after " + revision);
            return;
        }
        boolean news = whole || doubting || list.revision() != revision;
        doubting = false;
        whole = false;
        calling = false;
        listed = true;
        revision = list.revision();
        if (!news && System.nanoTime() - askedAt < SHORTEST_WATCH_NS) {
            again();
        } else if (watching) {
            call(); // before the list is handed on, as the watch counts as broken off if the next call is late
        }
        if (list.complete() || !list.members().isEmpty() || failing) {
            failing = false;
            listener.accept(list);
        }
    }

    /** Goes on watching after a short pause, in which the watch does not yet count as broken off. */
    private void again() {
        loop.schedule(() -> watch(watching), LEAST_PAUSE_MS + random.nextInt(MORE_PAUSE_MS), TimeUnit.MILLISECONDS);
    }

    /** Whoever has begun to answer is not silent: a long list may take its time from then on. */
    private final class FirstBytes extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (ctx.channel() == channel && calling && pushed && !begun && patience.cancel(false)) {
                begun = true;
                patience(PATIENCE_MS);
            }
            ctx.fireChannelRead(bytes);
        }
    }

    /** The answers on one connection. */
    private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (ctx.channel() != channel || !calling) {
                ctx.close(); // from an address that is no longer ours, or more than was asked for
                return;
            }
            patience.cancel(false);
            if (!HttpUtil.isKeepAlive(response)) {
                channel = null;
                ctx.close();
            }
            answered(response);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == channel) {
                if (patience != null) {
                    patience.cancel(false);
                }
                channel = null;
                if (calling) {
                    failed("call broken off");
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            log.line("discovery: " + cause);
            ctx.close();
        }
    }
}
