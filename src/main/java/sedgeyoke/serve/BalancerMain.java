package sedgeyoke.serve;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.channels.ServerSocketChannel;
import sedgeyoke.body.BodyLimits;
import sedgeyoke.proxy.common.TimeUnits;
import sedgeyoke.proxy.config.BalancerConfig;
import sedgeyoke.proxy.config.InvalidConfigException;
import sedgeyoke.proxy.lifecycle.BalancerServer;
import sedgeyoke.proxy.lifecycle.JitWarmUp;

/**
 * Starts one balancer, configured by its environment, and shuts it down gracefully on SIGTERM.
 * {@link OptionalFeatures}, which starts what the operator's file enables, is loaded only if there is such a file. The
 * class comment of {@code ProxyCore} lists the steps of a start in order.
 */
public final class BalancerMain {
    private static final int EXIT_CANNOT_START = 2;
    private static final String USAGE = "usage: serve [--config FILE]";
    /** Most that a reload is assumed to delay a signal: a slow disk must not make the shutdown too short. */
    private static final long MAX_SIGNAL_DELAY_MICROS = 500_000;

    /** The balancer that SIGHUP reloads; null until it is created. */
    private static BalancerMain running;
    /** Whether a SIGHUP arrived while {@link #running} was null: files read before it may have changed since. */
    private static boolean reloadPending;

    private final String configPath;
    private final BalancerServer server;
    /** The optional features of the operator's file; null without such a file. */
    private final OptionalFeatures features;
    /** Start of the last reload, in nanoseconds of the monotonic clock; 0 before the first one. */
    private volatile long reloadStartNanos;

    /** End of the last reload; earlier than its start while the reload is in progress. */
    private volatile long reloadEndNanos;

    private BalancerMain(String configPath, BalancerServer server, OptionalFeatures features) {
        this.configPath = configPath;
        this.server = server;
        this.features = features;
    }

    /** Runs until SIGTERM; exits with 2 if a configuration file is invalid or a socket cannot be opened. */
    public static void main(String[] args) throws InterruptedException {
        try {
            start(args);
        } catch (StartupFailedException e) {
            System.err.println("cannot start: " + e.getMessage());
            System.exit(EXIT_CANNOT_START);
        }
    }

    private static void start(String[] args) throws StartupFailedException, InterruptedException {
        String operatorFile = operatorFile(args);
        ReloadSignal.run(BalancerMain::onReloadSignal); // first, as an unhandled SIGHUP ends the JVM
        String configPath = System.getenv("BALANCER_CONFIG");
        BalancerConfig config;
        OptionalFeatures features;
        try {
            config = BalancerConfig.load(configPath);
            features = operatorFile == null || operatorFile.isEmpty() ? null : OptionalFeatures.load(operatorFile);
        } catch (InvalidConfigException | InvalidFeatureException e) {
            throw new StartupFailedException(e.getMessage(), e);
        } catch (NoClassDefFoundError e) { // the class path of 'run' has no libraries for the features
            throw new StartupFailedException(
                    operatorFile + " needs target/lib/features/* on the class path: start with 'bin/sedgeyoke serve'",
                    e);
        }
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        BalancerServer server = createServer(loop, config, features);
        BalancerMain main = new BalancerMain(configPath, server, features);
        handleReloadSignals(main);
        server.start();
        JitWarmUp.run(config, JitWarmUp.requests(config), JitWarmUp.TIMEOUT_SECONDS);
        // Before the first client can connect: without the hook, SIGTERM would leave accepted requests unanswered.
        Runtime.getRuntime().addShutdownHook(new Thread(main::shutDown));
        SocketAddress address = bind(server, config);
        bindAdminEndpoint(server, config);
        startFeatures(features, loop, server, config);
        System.err.println(config.name() + " listens on " + address);
    }

    /** Returns the operator's file from the arguments, else from the environment; null or empty if there is none. */
    private static String operatorFile(String[] args) throws StartupFailedException {
        if (args.length == 2 && args[0].equals("--config")) {
            return args[1];
        }
        if (args.length > 0) {
            throw new StartupFailedException(USAGE);
        }
        return System.getenv("SEDGEYOKE_OPERATOR");
    }

    private static BalancerServer createServer(EventLoop loop, BalancerConfig config, OptionalFeatures features)
            throws StartupFailedException {
        try {
            BodyLimits bodies = features == null ? config.bodies() : features.bodies();
            return BalancerServer.onSockets(loop, config, bodies, inheritedListener());
        } catch (IllegalArgumentException e) {
            throw new StartupFailedException("settings: " + e.getMessage(), e);
        }
    }

    private static SocketAddress bind(BalancerServer server, BalancerConfig config)
            throws StartupFailedException, InterruptedException {
        ChannelFuture bound = server.bind().await();
        if (!bound.isSuccess()) {
            throw new StartupFailedException(
                    "cannot listen on " + config.listen() + ": " + bound.cause().getMessage(), bound.cause());
        }
        return bound.channel().localAddress();
    }

    private static void bindAdminEndpoint(BalancerServer server, BalancerConfig config)
            throws StartupFailedException, InterruptedException {
        ChannelFuture bound = server.bindAdminEndpoint();
        if (bound != null && !bound.await().isSuccess()) {
            throw new StartupFailedException(
                    "cannot bind the admin endpoint to " + config.adminAddress() + ": "
                            + bound.cause().getMessage(),
                    bound.cause());
        }
    }

    private static void startFeatures(
            OptionalFeatures features, EventLoop loop, BalancerServer server, BalancerConfig config)
            throws StartupFailedException {
        if (features == null) {
            return;
        }
        try {
            features.start(loop, server, config);
        } catch (InvalidFeatureException e) {
            throw new StartupFailedException(e.getMessage(), e);
        }
    }

    private static void handleReloadSignals(BalancerMain main) {
        boolean reload;
        synchronized (BalancerMain.class) {
            running = main;
            reload = reloadPending;
        }
        if (reload) {
            main.reload();
        }
    }

    private static void onReloadSignal() {
        BalancerMain main;
        synchronized (BalancerMain.class) {
            main = running;
            reloadPending |= main == null;
        }
        if (main != null) {
            main.reload();
        }
    }

    /** Returns the client listener that the platform passes as descriptor 0; null if the balancer binds its own. */
    private static ServerSocketChannel inheritedListener() throws StartupFailedException {
        String descriptor = System.getenv("BALANCER_ACCEPT_FD");
        if (descriptor == null || descriptor.isEmpty()) {
            return null;
        }
        try {
            if (descriptor.equals("0") && System.inheritedChannel() instanceof ServerSocketChannel listener) {
                return listener;
            }
        } catch (IOException e) {
            throw new StartupFailedException("BALANCER_ACCEPT_FD=" + descriptor + ": " + e.getMessage(), e);
        }
        throw new StartupFailedException(
                "BALANCER_ACCEPT_FD=" + descriptor + ": not a listening socket; only descriptor 0 is supported");
    }

    private void shutDown() {
        server.shutDown(signalDelayMicros());
    }

    /**
     * Returns how long ago SIGTERM may have been sent. A reload delays the signal, as both compete for the processor,
     * and the work that follows a reload delays it for about as long again.
     */
    private long signalDelayMicros() {
        long nowNanos = System.nanoTime();
        long startNanos = reloadStartNanos;
        if (startNanos == 0) {
            return 0;
        }
        long reloadNanos = reloadEndNanos - startNanos;
        boolean inProgress = reloadNanos < 0;
        boolean delayed = inProgress || nowNanos - (startNanos + reloadNanos) <= 2 * reloadNanos;
        return delayed ? Math.min(MAX_SIGNAL_DELAY_MICROS, (nowNanos - startNanos) / TimeUnits.NANOS_PER_MICRO) : 0;
    }

    /**
     * Reads the files again on the signal's thread; the event loop only applies the result. Signals are handled one
     * after the other, so that the last one determines the configuration. An invalid file changes nothing.
     */
    private synchronized void reload() {
        reloadStartNanos = System.nanoTime();
        try {
            server.reload(BalancerConfig.load(configPath));
        } catch (InvalidConfigException e) {
            server.log("reload: the old configuration stays in force: " + e.getMessage());
        }
        if (features != null) {
            features.reload(server::log);
        }
        reloadEndNanos = System.nanoTime();
    }
}
