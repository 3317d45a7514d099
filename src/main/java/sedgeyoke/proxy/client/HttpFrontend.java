package sedgeyoke.proxy.client;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.TimeUnit;
import sedgeyoke.body.BodyLimits;
import sedgeyoke.proxy.common.ReadBarrier;
import sedgeyoke.proxy.common.Transport;
import sedgeyoke.proxy.config.BalancerConfig;
import sedgeyoke.proxy.core.ProxyCore;

/**
 * Accepts client connections: owns the listener, enforces the connection limits and takes part in a graceful shutdown.
 * {@link ClientConnection} handles each accepted connection. All methods except {@link #bind} must run on the event
 * loop.
 */
public final class HttpFrontend {
    private static final long CHECK_INTERVAL_MILLIS = 50;
    /** Maximum number of connections accepted in one pass of the event loop (Netty's limit). */
    private static final int MAX_ACCEPTED_PER_PASS = 16;
    /** Maximum number of consecutive reads on one connection before other connections get their turn. */
    private static final int MAX_READS_PER_PASS = 16;

    private static final int MIN_READ_BYTES = 512;
    private static final int FIRST_READ_BYTES = 2_048;

    private final EventLoop loop;
    private final BalancerConfig config;
    private final Transport transport;
    private final ProxyCore core;
    private final BodyLimits limits;
    private final RequestParser parser;
    private final ClientConnections connections;
    private final ClientConnectionCloser closer;
    /**
     * These checks close connections of silent clients. They run once pending input is read, as a client with unread
     * input is not silent.
     */
    private final ReadBarrier.Check timeoutCheck;

    private final ReadBarrier.Check scarcityCheck;
    private final ReadBarrier.Check idleShutdownCheck;
    private final ReadBarrier.Check finalShutdownCheck;
    /**
     * A listener that the platform has opened and that other processes may share; null if this process binds its own.
     */
    private final ServerSocketChannel inherited;

    private Channel listener;
    private final AcceptDelay acceptDelay = new AcceptDelay();
    /** Connections accepted so far. */
    private long accepted;
    /**
     * Value of {@link #accepted} at the last {@link #isBacklogEmpty}. Initially so low that the first call returns
     * false.
     */
    private long acceptedAtLastCheck = -MAX_ACCEPTED_PER_PASS;

    /** Whether health checks fail because the balancer drains. */
    private boolean draining;
    /** Whether each response closes its connection. */
    private boolean closing;
    /** Whether another process has taken over accepting connections, so that clients should reconnect to it. */
    private boolean handedOver;

    /** {@code inherited} is a listener that the platform has opened, or null to bind one. */
    public HttpFrontend(
            EventLoop loop,
            BalancerConfig config,
            ProxyCore core,
            Transport transport,
            BodyLimits limits,
            ServerSocketChannel inherited) {
        this.loop = loop;
        this.config = config;
        this.core = core;
        this.transport = transport;
        this.limits = limits;
        this.inherited = inherited;
        this.parser = new RequestParser(config, core);
        this.connections = new ClientConnections(config.sockets());
        this.closer = new ClientConnectionCloser(connections, new ClientTimeouts(limits), core.log());
        this.timeoutCheck = core.reads().check(this::closeTimedOut);
        this.scarcityCheck = core.reads().check(this::makeRoom);
        this.idleShutdownCheck = core.reads().check(closer::closeIdleForShutdown);
        this.finalShutdownCheck = core.reads().check(closer::closeAllForShutdown);
    }

    // ---- Listener ------------------------------------------------------------------------------------

    /** Starts listening. The future completes once binding has succeeded or failed. May be called on any thread. */
    public ChannelFuture bind() {
        ServerBootstrap server = inherited == null ? transport.server(loop) : transport.server(loop, inherited);
        server.handler(new ListenerInitializer()).childHandler(new ConnectionInitializer());
        return inherited == null ? server.bind(transport.at(config.listen())) : server.register();
    }

    /** Sets the listener on the event loop, because a client may connect before the binding thread continues. */
    private final class ListenerInitializer extends ChannelInitializer<ServerChannel> {
        @Override
        protected void initChannel(ServerChannel channel) {
            listener = channel;
            channel.pipeline().addLast(new AcceptObserver());
            // Not before there is a listener: a periodic task that throws never runs again.
            loop.scheduleWithFixedDelay(
                    HttpFrontend.this::checkConnections,
                    CHECK_INTERVAL_MILLIS,
                    CHECK_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Records accept failures, after which Netty pauses accepting until {@link #updateAccepting}, and an emptied
     * backlog.
     */
    private final class AcceptObserver extends ChannelInboundHandlerAdapter {
        private int acceptedInPass;
        private boolean failed;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object connection) {
            acceptedInPass++;
            ctx.fireChannelRead(connection);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            boolean foundNoMore = acceptedInPass < MAX_ACCEPTED_PER_PASS
                    && ctx.channel().config().isAutoRead();
            if (acceptedInPass > 0 && foundNoMore) {
                failed = false;
                loop.execute(this::recordEmptyBacklogUnlessFailed); // after exceptionCaught of this pass
            }
            acceptedInPass = 0;
            ctx.fireChannelReadComplete();
        }

        private void recordEmptyBacklogUnlessFailed() {
            if (!failed) {
                acceptDelay.backlogEmptied();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            failed = true;
            core.log().line("accepting connections fails: " + cause.getMessage());
            acceptDelay.acceptingBlocked(core.now());
            ctx.fireExceptionCaught(cause);
        }
    }

    /** Builds the pipeline of a connection. */
    private final class ConnectionInitializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            // Read until the socket has no more: the close of a client that has disconnected comes after its request.
            channel.config()
                    .setRecvByteBufAllocator(new AdaptiveRecvByteBufAllocator(
                                    MIN_READ_BYTES, FIRST_READ_BYTES, limits.maxSocketReadBytes())
                            .respectMaybeMoreData(false)
                            .maxMessagesPerRead(MAX_READS_PER_PASS));
            if (limits.streaming()) {
                Transport.limitBuffers(channel, limits);
            }
            new ClientConnection(channel, HttpFrontend.this, connections, core, parser, limits)
                    .addTo(channel.pipeline());
        }
    }

    /**
     * Called by each connection once it is accepted. Returns the longest time that it may have waited for that, in
     * microseconds.
     */
    long connectionAccepted() {
        accepted++;
        updateAccepting();
        return acceptDelay.maxDelayMicros(core.now());
    }

    /** Requests that unused connections be closed if the limit is near, and accepts only while there is room. */
    void updateAccepting() {
        if (connections.isNearlyFull()) {
            scarcityCheck.request();
        }
        boolean hasRoom = connections.mayAccept();
        if (!hasRoom) {
            acceptDelay.acceptingBlocked(core.now()); // if only isAccepting() is false, another process accepts
        }
        listener.config().setAutoRead(isAccepting() && hasRoom);
    }

    /**
     * Whether this process accepts new connections. With a shared listener it does so only if it can serve them; until
     * then the other process accepts them.
     */
    private boolean isAccepting() {
        return !handedOver && (inherited == null || core.ready());
    }

    private void checkConnections() {
        timeoutCheck.request();
        updateAccepting();
    }

    private void closeTimedOut(long readUntilMicros) {
        closer.closeTimedOut(readUntilMicros);
        closer.closeExcessIdle(readUntilMicros);
    }

    private void makeRoom(long readUntilMicros) {
        if (connections.isNearlyFull()) {
            closer.makeRoom(readUntilMicros);
        }
    }

    // ---- Graceful shutdown ---------------------------------------------------------------------------

    /** Makes health checks fail from now on, so that clients are sent elsewhere. */
    public void drain() {
        draining = true;
    }

    /** Whether health checks succeed. */
    public boolean isHealthy() {
        return core.ready() && !draining;
    }

    /** Leaves new connections to another process from now on, and makes each response close its connection. */
    public void handOver() {
        handedOver = true;
        updateAccepting();
    }

    /** Whether other processes may accept from the same listener. */
    public boolean isListenerShared() {
        return inherited != null;
    }

    /** Closes the listener; has no effect before it is bound. */
    public void stopListening() {
        if (listener != null) {
            listener.close();
        }
    }

    /**
     * Whether the listener's backlog was empty: since the last call, fewer connections were accepted than one pass of
     * the event loop may accept.
     */
    public boolean isBacklogEmpty() {
        boolean empty = accepted - acceptedAtLastCheck < MAX_ACCEPTED_PER_PASS;
        acceptedAtLastCheck = accepted;
        return empty;
    }

    /**
     * Closes the connections on which no request has begun, and makes each later response close its connection. Must be
     * called repeatedly: the first call only affects later responses, and what was received by then is read before the
     * next call.
     */
    public void closeIdleConnections() {
        if (closing) {
            idleShutdownCheck.request();
        }
        closing = true;
    }

    /**
     * Like {@link #closeIdleConnections}, but also rejects incomplete requests and closes connections of clients that
     * do not disconnect after their last response.
     */
    public void closeAllConnections() {
        if (closing) {
            finalShutdownCheck.request();
        }
        closing = true;
    }

    /** Whether a connection may stay open after its response. */
    boolean allowsKeepAlive() {
        return !closing && !handedOver && !connections.isCrowded();
    }

    // ---- Metrics -------------------------------------------------------------------------------------

    /** Number of requests that are in flight or whose response is being written. */
    public int inFlight() {
        return connections.busy();
    }

    /** Bytes that are reserved for streamed bodies. */
    public long reservedBodyBytes() {
        return core.budget().reservedBytes();
    }

    /** Number of open client connections, including those whose last response is being written. */
    public int openConnections() {
        return connections.size();
    }
}
