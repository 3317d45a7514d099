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

/** One balancer: its policy, its sockets and its graceful shutdown, all on one event loop. */
public final class BalancerServer {
    private final EventLoop loop;
    private final BalancerConfig config;
    private final ProxyCore core;
    private final AdminServer adminServer;
    private final HttpFrontend frontend;
    private final CountDownLatch shutDown = new CountDownLatch(1);

    /** Creates a server that binds a listener of its own. */
    public BalancerServer(
            EventLoop loop, BalancerConfig config, ProxyCore core, Transport transport, BodyLimits bodies) {
        this(loop, config, core, transport, bodies, null);
    }

    /** Creates a server; {@code inherited} is a listener that is open already, null to bind one. */
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

    /** A balancer on TCP; throws {@link IllegalArgumentException} with the name of a setting that is invalid. */
    public static BalancerServer onSockets(EventLoop loop, BalancerConfig config) {
        return onSockets(loop, config, config.bodies(), null);
    }

    /**
     * The same with other limits on bodies.
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
     * Starts the policy and the calls to discovery, so that the endpoint list is there when clients connect. If it is
     * not called, {@link #bind} does the same. Any thread.
     */
    public void start() {
        loop.execute(core::start);
    }

    /** Binds the clients' listener, and starts the policy once that has succeeded. Any thread. */
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

    /** What the admin endpoint serves; on the event loop. */
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

    /** Binds the clients' listener and waits for it; returns the address, or throws with the reason. */
    public InetSocketAddress listen() {
        return (InetSocketAddress) bind().syncUninterruptibly().channel().localAddress();
    }

    /** Access to the policy for other features; to be used on the event loop only. */
    public PolicyPort port() {
        return core;
    }

    /** Takes over what may change without a restart. Any thread. */
    public void reload(BalancerConfig changed) {
        loop.execute(() -> core.reload(changed));
    }

    /** Writes a line to the log, at its limited rate. Any thread. */
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

    /** Shuts down where nothing can have delayed the signal; see {@link #shutDown(long)}. */
    public void shutDown() {
        shutDown(0);
    }

    /**
     * Shuts down gracefully and returns once that is complete. Called by the shutdown hook, which the JVM waits for.
     *
     * @param signalDelayMicros for how long SIGTERM may have been on its way to this process
     */
    public void shutDown(long signalDelayMicros) {
        ShutdownDeadlines deadlines =
                new ShutdownDeadlines(core.now() - signalDelayMicros, core.longestDeadlineMicros());
        GracefulShutdown shutdown = new GracefulShutdown(loop, core, frontend, deadlines, shutDown);
        loop.execute(shutdown::start);
        shutdown.awaitCompletion();
    }
}
