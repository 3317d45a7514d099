package sedgeyoke.proxy.lifecycle;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.CountDownLatch;
import sedgeyoke.body.BodyLimits;
import sedgeyoke.proxy.admin.AdminServer;
import sedgeyoke.proxy.client.HttpFrontend;
import sedgeyoke.proxy.common.Transport;
import sedgeyoke.proxy.config.BalancerConfig;
import sedgeyoke.proxy.core.PolicyPort;
import sedgeyoke.proxy.core.ProxyCore;

/** One balancer with its policy, its sockets and its graceful shutdown, all on one event loop. */
public final class BalancerServer {
    private final EventLoop loop;
    private final BalancerConfig config;
    private final ProxyCore core;
    private final AdminServer adminServer;
    private final HttpFrontend frontend;
    private final CountDownLatch shutDown = new CountDownLatch(1);

    /** Creates a server that binds its own listener. */
    public BalancerServer(
            EventLoop loop, BalancerConfig config, ProxyCore core, Transport transport, BodyLimits bodies) {
        this(loop, config, core, transport, bodies, null);
    }

    /** Creates a server; {@code inherited} is a listener that is already open, or null to bind one. */
    public BalancerServer(
            EventLoop loop,
            BalancerConfig config,
            ProxyCore core,
            Transport transport,
            BodyLimits bodies,
            ServerSocketChannel inherited) {
        this.loop = loop;
        this.config = config;
        this.core = core;
        this.frontend = new HttpFrontend(loop, config, core, transport, bodies, inherited);
        this.adminServer = new AdminServer(loop, transport, new Operations());
    }

    /** Creates a balancer on TCP; throws {@link IllegalArgumentException} with the name of an invalid setting. */
    public static BalancerServer onSockets(EventLoop loop, BalancerConfig config) {
        return onSockets(loop, config, config.bodies(), null);
    }

    /**
     * Creates a balancer on TCP with other limits on bodies.
     *
     * @param inherited a listener that the platform opened and that other processes may share, or null
     */
    public static BalancerServer onSockets(
            EventLoop loop, BalancerConfig config, BodyLimits bodies, ServerSocketChannel inherited) {
        return new BalancerServer(
                loop,
                config,
                new ProxyCore(loop, config, Transport.SOCKETS, bodies),
                Transport.SOCKETS,
                bodies,
                inherited);
    }

    /**
     * Starts the policy and the calls to discovery, so that an endpoint list is available when clients connect.
     * Optional: {@link #bind} does the same. Any thread.
     */
    public void start() {
        loop.execute(core::start);
    }

    /** Binds the listener for clients, and starts the policy once that has succeeded. Any thread. */
    public ChannelFuture bind() {
        return frontend.bind().addListener(bound -> {
            if (bound.isSuccess()) {
                core.start();
            }
        });
    }

    /** Binds the admin endpoint; null if the configuration has none. Any thread. */
    public ChannelFuture bindAdminEndpoint() {
        return config.adminAddress() == null ? null : adminServer.bind(config.adminAddress());
    }

    /** The operations of the admin endpoint; event loop only. */
    private final class Operations implements AdminServer.Operations {
        @Override
        public boolean healthy() {
            return frontend.isHealthy();
        }

        @Override
        public String metrics() {
            return core.metrics(frontend.inFlight());
        }

        @Override
        public boolean cordon(String id) {
            return core.cordon(id);
        }

        @Override
        public boolean uncordon(String id) {
            return core.uncordon(id);
        }
    }

    /**
     * Binds the listener for clients and waits until it is bound. Returns its address, or throws the reason of a
     * failure.
     */
    public InetSocketAddress listen() {
        return (InetSocketAddress) bind().syncUninterruptibly().channel().localAddress();
    }

    /** Access to the policy for other features; event loop only. */
    public PolicyPort port() {
        return core;
    }

    /** Applies the parts of a configuration that may change without a restart. Any thread. */
    public void reload(BalancerConfig changed) {
        loop.execute(() -> core.reload(changed));
    }

    /** Writes a line to the rate-limited log. Any thread. */
    public void log(String line) {
        loop.execute(() -> core.log(line));
    }

    /** For tests: the bytes reserved for bodies that are being streamed. Not on the event loop. */
    public long reservedForBodies() {
        return loop.submit(frontend::reservedBodyBytes).syncUninterruptibly().getNow();
    }

    /** For tests: the number of open client connections. Not on the event loop. */
    public int clients() {
        return loop.submit(frontend::openConnections).syncUninterruptibly().getNow();
    }

    /** Shuts down when the signal cannot have been delayed; see {@link #shutDown(long)}. */
    public void shutDown() {
        shutDown(0);
    }

    /**
     * Shuts down gracefully and returns once that is complete. Called by the shutdown hook, for which the JVM waits.
     *
     * @param signalDelayMicros the longest time that SIGTERM may have taken to reach this process
     */
    public void shutDown(long signalDelayMicros) {
        ShutdownDeadlines deadlines =
                new ShutdownDeadlines(core.now() - signalDelayMicros, core.longestDeadlineMicros());
        GracefulShutdown shutdown = new GracefulShutdown(loop, core, frontend, deadlines, shutDown);
        loop.execute(shutdown::start);
        shutdown.awaitCompletion();
    }
}
