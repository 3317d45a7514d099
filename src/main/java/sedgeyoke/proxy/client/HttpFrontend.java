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
 * Accepts the connections of clients: the listener, its limits and its part in a graceful shutdown. What happens on a
 * connection is up to {@link ClientConnection}. All methods but {@link #bind} run on the event loop.
 */
public final class HttpFrontend {
    private static final long CHECK_INTERVAL_MILLIS = 50;
    /** Connections accepted in one pass of the loop (Netty's bound). */
    private static final int MAX_ACCEPTED_PER_PASS = 16;
    /** Reads in a row on one connection, before others have their turn. */
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
    /** These close connections whose clients are silent, which must not be decided by unread connections. */
    private final ReadBarrier.Check timeoutCheck;

    private final ReadBarrier.Check scarcityCheck;
    private final ReadBarrier.Check idleShutdownCheck;
    private final ReadBarrier.Check finalShutdownCheck;
    /** A listener that the platform holds and other processes may share; null if this process binds its own. */
    private final ServerSocketChannel inherited;

    private Channel listener;
    private final AcceptDelay acceptDelay = new AcceptDelay();
    /** Connections that were accepted so far. */
    private long accepted;
    /** What {@link #accepted} was at the last {@link #isBacklogEmpty}, which must answer false the first time. */
    private long acceptedAtLastCheck = -MAX_ACCEPTED_PER_PASS;

    /** Whether health checks fail. */
    private boolean draining;
    /** Whether each response ends its connection. */
    private boolean closing;
    /** Another process accepts from the same listener, and clients are to go there. */
    private boolean handedOver;

    /** {@code inherited} is a listener that the platform holds, or null to bind one. */
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

    /** Starts listening; the future completes when that has worked or failed. May be called on any thread. */
    public ChannelFuture bind() {
        loop.scheduleWithFixedDelay(
                this::checkConnections, CHECK_INTERVAL_MILLIS, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        ServerBootstrap server = inherited == null ? transport.server(loop) : transport.server(loop, inherited);
        server.handler(new ListenerInitializer()).childHandler(new ConnectionInitializer());
        return inherited == null ? server.bind(transport.at(config.listen())) : server.register();
    }

    /** Takes the listener on the loop: a client may be there before the thread that binds goes on. */
    private final class ListenerInitializer extends ChannelInitializer<ServerChannel> {
        @Override
        protected void initChannel(ServerChannel channel) {
            listener = channel;
            channel.pipeline().addLast(new AcceptObserver());
        }
    }

    /** Notes when accepting fails, which Netty pauses until {@link #updateAccepting}, and what empties the backlog. */
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
                loop.execute(this::recordEmptyBacklogUnlessFailed); // a failure of this pass is reported after this
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
            // Reads until nothing is left: the end of a client that has left comes behind its request.
            channel.config()
                    .setRecvByteBufAllocator(
                            new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, limits.maxReadBytes())
                                    .respectMaybeMoreData(false)
                                    .maxMessagesPerRead(MAX_READS_PER_PASS));
            if (limits.streaming()) {
                Transport.limitBuffers(channel, limits);
            }
            new ClientConnection(channel, HttpFrontend.this, connections, core, parser, limits)
                    .addTo(channel.pipeline());
        }
    }

    /** A connection was accepted; called by itself. Returns how long it may have waited for that. */
    long connectionAccepted() {
        accepted++;
        updateAccepting();
        return acceptDelay.maxDelayMicros(core.now());
    }

    /** Has room made for new connections if need be, and accepts more only where there is room. */
    void updateAccepting() {
        if (connections.isNearlyFull()) {
            scarcityCheck.request();
        }
        boolean hasRoom = connections.mayAccept();
        if (!hasRoom) {
            acceptDelay.acceptingBlocked(core.now()); // unlike a listener that another process accepts from
        }
        listener.config().setAutoRead(isAccepting() && hasRoom);
    }

    /**
     * Whether new connections are taken. A process that shares its listener takes some only if it can serve them: the
     * other process would have.
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

    /** Lets health checks fail from now on, so that clients are sent elsewhere. */
    public void drain() {
        draining = true;
    }

    /** Whether health checks succeed. */
    public boolean isHealthy() {
        return core.ready() && !draining;
    }

    /** From now on new connections are another process's, and each response ends its connection. */
    public void handOver() {
        handedOver = true;
        updateAccepting();
    }

    /** Whether other processes may accept from the same listener. */
    public boolean isListenerShared() {
        return inherited != null;
    }

    /** Closes the listener, if there is one yet. */
    public void stopListening() {
        if (listener != null) {
            listener.close();
        }
    }

    /**
     * Whether fewer connections were accepted since the last call than one pass of the loop may take: then the
     * listener's backlog was empty.
     */
    public boolean isBacklogEmpty() {
        boolean empty = accepted - acceptedAtLastCheck < MAX_ACCEPTED_PER_PASS;
        acceptedAtLastCheck = accepted;
        return empty;
    }

    /**
     * Ends the connections on which no request has begun, and lets each further response end its connection. To be
     * called repeatedly: the first call only makes later responses end theirs, and what was received by then is read
     * before the next call.
     */
    public void closeIdleConnections() {
        if (closing) {
            idleShutdownCheck.request();
        }
        closing = true;
    }

    /**
     * As {@link #closeIdleConnections}; also rejects incomplete requests and closes connections of clients that do not
     * leave.
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

    /** Requests that were accepted and whose response is not yet written. */
    public int inFlight() {
        return connections.busy();
    }

    /** Bytes that are reserved for streamed bodies. */
    public long reservedBodyBytes() {
        return core.budget().reservedBytes();
    }

    /** Open connections of clients, including those whose last response is being written. */
    public int openConnections() {
        return connections.size();
    }
}
