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
 * Fetches the complete endpoint list from discovery and then watches it, with one call after the other. A call that
 * fails changes nothing: the last list stays in force. Where discovery is one service for all balancers, the first
 * watch continues from the list of the configuration, as complete lists are expensive there and would delay each other
 * when many balancers start at once. Event loop only.
 */
final class DiscoveryClient {
    /** How long a watch waits for changes; short, so that one that has fallen silent is noticed. */
    private static final int WATCH_WAIT_MILLIS = 2_000;
    /** A watch that ends sooner than that without changes is renewed only after a pause, or calls would never rest. */
    private static final long MIN_WATCH_NANOS = 50_000_000;
    /**
     * How long a call for the complete list may take. A shorter timeout helps nobody where discovery works through
     * calls in turn: the response that it is about to give is lost, and the next call starts at the end of the queue.
     */
    private static final int CALL_TIMEOUT_MILLIS = 5_000;
    /** How much longer than it waits a watch may take; changes that it misses are unknown for as long. */
    private static final int WATCH_TIMEOUT_MARGIN_MILLIS = 2_500;
    /**
     * How long the first byte of a response may take where lists are pushed: the agent runs on this machine and
     * responds at once, or is silent. What a silent watch misses counts as known 6 s after it fell silent, and what the
     * agent gets at the end of an outage at once, so that two silent calls in a row must take less than the one, and a
     * call that is silent during an outage less than the time that draining upstreams leave.
     */
    private static final int MAX_SILENCE_MILLIS = 500;
    /** An event loop on a part of a core is late itself by about as much. */
    private static final int MIN_SILENCE_MILLIS = 100;

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    /** The longest list: far more than any fleet's, and little enough to buffer. */
    private static final int MAX_LIST_BYTES = 1 << 20;

    private static final int MIN_PAUSE_MILLIS = 20;
    private static final int PAUSE_JITTER_MILLIS = 80;

    private final EventLoop loop;
    private final BalancerConfig config;
    private final Transport transport;
    private final Consumer<EndpointList> listener;
    private final RateLimitedLog log;
    private final Random random;
    private final Bootstrap bootstrap;
    /** Whether an agent on this machine pushes lists; else the policy decides when to poll a shared service. */
    private final boolean pushed;
    /** How long nothing at all may arrive where lists are pushed; draining upstreams leave at least twice that. */
    private final int maxSilenceMillis;

    private InetSocketAddress address;
    /** The connection in use; null if there is none. */
    private Channel channel;

    private boolean watching;
    private boolean callInProgress;
    private Future<?> timeoutTimer;
    private long callStartedNanos;
    /** Whether the response to the current call has responseStarted to arrive. */
    private boolean responseStarted;

    private boolean completeListNeeded;
    private boolean listed;
    private long revision;
    /** Whether the listener was notified of a failed call and of no successful one since. */
    private boolean failureReported;
    /** After a failure of the agent: the next call returns at once, as waiting cannot be distinguished from silence. */
    private boolean withoutWait;

    /** The listener gets each list, and null for a failed call where lists are polled. */
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
        this.pushed = !config.instanceSettings().settings().subscribesToEndpoints();
        long drainGraceMillis = config.instanceSettings().settings().rules().drainGrace() / 1_000;
        this.maxSilenceMillis = (int) Math.max(MIN_SILENCE_MILLIS, Math.min(MAX_SILENCE_MILLIS, drainGraceMillis / 2));
        this.completeListNeeded = !config.instanceSettings().settings().subscribesToEndpoints()
                || config.known().members().isEmpty();
        this.listed = !completeListNeeded; // a watch ends only with changes, and clients must not wait for these
        this.revision = config.known().revision();
        this.bootstrap = transport
                .client(loop)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, pushed ? maxSilenceMillis : CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline()
                                .addLast(
                                        new ResponseStartHandler(),
                                        new HttpClientCodec(),
                                        new HttpObjectAggregator(MAX_LIST_BYTES),
                                        new ResponseHandler());
                    }
                });
    }

    /** Whether a list is known: discovery has sent one, or a watch continues from the one of the configuration. */
    boolean listed() {
        return listed;
    }

    /** Starts watching, or stops after the current call. */
    void watch(boolean enabled) {
        watching = enabled;
        if (enabled && !callInProgress) {
            call();
        }
    }

    /** Fetches the complete list now; a watch in progress is aborted. */
    void fetch() {
        completeListNeeded = true;
        if (callInProgress && channel != null) {
            channel.close();
        } else if (!callInProgress) {
            call();
        }
    }

    /**
     * Continues at another address. Revisions may differ there, so the complete list is fetched; the last one stays in
     * force until then, and responses from the old address are ignored.
     */
    void moveTo(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        completeListNeeded = true;
        Channel previous = channel;
        channel = null;
        if (previous != null) {
            previous.close();
        }
        if (timeoutTimer != null) {
            timeoutTimer.cancel(false);
        }
        if (callInProgress) {
            call();
        }
    }

    private void call() {
        callInProgress = true;
        if (channel != null && channel.isActive()) {
            write();
            return;
        }
        ChannelFuture connecting = bootstrap.connect(transport.at(address));
        channel = connecting.channel();
        // If the process has no file descriptor left, Netty calls the listener on another thread.
        connecting.addListener(done -> loop.execute(() -> connected(connecting)));
    }

    private void connected(ChannelFuture connecting) {
        if (connecting.channel() != channel) {
            connecting.channel().close(); // the address has changed meanwhile
        } else if (connecting.isSuccess()) {
            write();
        } else {
            failed("no connection");
        }
    }

    private void write() {
        int waitMillis = completeListNeeded || withoutWait ? 0 : WATCH_WAIT_MILLIS;
        String uri = "/catalog/members" + (completeListNeeded ? "" : "?from=" + revision + "&hold_ms=" + waitMillis);
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
        request.headers().set(HttpHeaderNames.HOST, address.getAddress().getHostAddress());
        callStartedNanos = System.nanoTime();
        responseStarted = false;
        startTimeout(timeoutMillis(waitMillis));
        channel.writeAndFlush(request);
    }

    private int timeoutMillis(int waitMillis) {
        if (pushed) {
            return waitMillis + maxSilenceMillis;
        }
        return completeListNeeded ? CALL_TIMEOUT_MILLIS : WATCH_WAIT_MILLIS + WATCH_TIMEOUT_MARGIN_MILLIS;
    }

    private void startTimeout(int millis) {
        Channel calledOn = channel;
        timeoutTimer = loop.schedule(() -> calledOn.close(), millis, TimeUnit.MILLISECONDS);
    }

    private void failed(String reason) {
        callInProgress = false;
        withoutWait = pushed;
        log.line("discovery: " + reason);
        if (channel != null) {
            Channel previous = channel;
            channel = null;
            previous.close(); // an invalid response may have left anything behind on it
        }
        if (!pushed) { // the policy decides when to poll again
            watching = false;
            failureReported = true;
            listener.accept(null);
        } else {
            continueAfterPause();
        }
    }

    private void responded(FullHttpResponse response) {
        EndpointList list;
        try {
            if (response.status().code() != 200 || response.decoderResult().isFailure()) {
                failed("answered " + response.status());
                return;
            }
            list = EndpointList.read(
                    BalancerConfig.JSON.readTree(ByteBufUtil.getBytes(response.content())), config.instanceSettings());
        } catch (InvalidEndpointListException | JsonProcessingException e) {
            failed("malformed list: " + e.getMessage().lines().findFirst().orElse(""));
            return;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        if (!list.complete() && list.revision() < revision) {
            completeListNeeded = true; // another discovery, or one that lost its state: revisions start anew
            failed("revision " + list.revision() + " after " + revision);
            return;
        }
        boolean changed = completeListNeeded || withoutWait || list.revision() != revision;
        withoutWait = false;
        completeListNeeded = false;
        callInProgress = false;
        listed = true;
        revision = list.revision();
        if (!changed && System.nanoTime() - callStartedNanos < MIN_WATCH_NANOS) {
            continueAfterPause();
        } else if (watching) {
            call(); // before the list is passed on, as the watch counts as interrupted if the next call is late
        }
        if (list.complete() || !list.members().isEmpty() || failureReported) {
            failureReported = false;
            listener.accept(list);
        }
    }

    /** Continues watching after a pause that is too short for the watch to count as interrupted. */
    private void continueAfterPause() {
        loop.schedule(
                () -> watch(watching), MIN_PAUSE_MILLIS + random.nextInt(PAUSE_JITTER_MILLIS), TimeUnit.MILLISECONDS);
    }

    /** Extends the timeout once a response begins: the agent is not silent then, and a long list may take its time. */
    private final class ResponseStartHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (ctx.channel() == channel
                    && callInProgress
                    && pushed
                    && !responseStarted
                    && timeoutTimer.cancel(false)) {
                responseStarted = true;
                startTimeout(CALL_TIMEOUT_MILLIS);
            }
            ctx.fireChannelRead(bytes);
        }
    }

    /** Handles the responses on one connection. */
    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (ctx.channel() != channel || !callInProgress) {
                ctx.close(); // from a previous address, or a response that no call asked for
                return;
            }
            timeoutTimer.cancel(false);
            if (!HttpUtil.isKeepAlive(response)) {
                channel = null;
                ctx.close();
            }
            responded(response);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == channel) {
                if (timeoutTimer != null) {
                    timeoutTimer.cancel(false);
                }
                channel = null;
                if (callInProgress) {
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
