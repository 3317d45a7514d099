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
 * Starts one balancer from its environment and shuts it down gracefully on SIGTERM. What the operator's file turns on
 * is in {@link OptionalFeatures}, which is loaded only if such a file is named. The class comment of {@code ProxyCore}
 * lists the steps of a start in their order.
 */
public final class BalancerMain {
    private static final int EXIT_CANNOT_START = 2;
    private static final String USAGE = "usage: serve [--config FILE]";
    /** A reload is taken to delay a signal no longer than this, or a broken disk would make the shutdown too short. */
    private static final long MAX_SIGNAL_DELAY_MICROS = 500_000;

    /** The balancer that handles SIGHUP; null until it can. */
    private static BalancerMain running;
    /** Whether a SIGHUP arrived before that: the files that were read may be older than the change. */
    private static boolean reloadPending;

    private final String configPath;
    private final BalancerServer server;
    /** Null if no operator's file is named. */
    private final OptionalFeatures features;
    /** When the last reload began and ended, in nanoseconds of the monotonic clock; 0 for none. */
    private volatile long reloadBeganNanos;

    private volatile long reloadEndedNanos;

    private BalancerMain(String configPath, BalancerServer server, OptionalFeatures features) {
        this.configPath = configPath;
        this.server = server;
        this.features = features;
    }

    /** Runs until SIGTERM; exits with 2 if a configuration or the address to listen on is invalid. */
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
        ReloadSignal.run(BalancerMain::onReloadSignal); // first: without it SIGHUP ends the JVM
        String configPath = System.getenv("BALANCER_CONFIG");
        BalancerConfig config;
        OptionalFeatures features;
        try {
            config = BalancerConfig.load(configPath);
            features = operatorFile == null || operatorFile.isEmpty() ? null : OptionalFeatures.load(operatorFile);
        } catch (InvalidConfigException | InvalidFeatureException e) {
            throw new StartupFailedException(e.getMessage(), e);
        } catch (NoClassDefFoundError e) { // 'run' has no library of a feature
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
        // Before the first client can connect: without a hook, SIGTERM would leave accepted requests unanswered.
        Runtime.getRuntime().addShutdownHook(new Thread(main::shutDown));
        SocketAddress address = bind(server, config);
        bindAdminEndpoint(server, config);
        startFeatures(features, loop, server, config);
        System.err.println(config.name() + " listens on " + address);
    }

    /** The operator's file that is named by an argument, else by the environment; null or empty if none is. */
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
            return BalancerServer.onSockets(loop, config, bodies, inherited());
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
                    "cannot listen for operators on " + config.adminAddress() + ": "
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

    /** The clients' listener if the platform opened it, as file descriptor 0; null if we bind our own. */
    private static ServerSocketChannel inherited() throws StartupFailedException {
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
                "BALANCER_ACCEPT_FD=" + descriptor + ": no listening socket is there; descriptor 0 is taken");
    }

    private void shutDown() {
        server.shutDown(signalDelayMicros());
    }

    /**
     * For how long SIGTERM may have been on its way. A reload delays the signal, as both wait for the processor, and
     * the work that it leaves behind delays it for about as long again.
     */
    private long signalDelayMicros() {
        long nowNanos = System.nanoTime();
        long beganNanos = reloadBeganNanos;
        if (beganNanos == 0) {
            return 0;
        }
        long reloadNanos = reloadEndedNanos - beganNanos;
        boolean inProgress = reloadNanos < 0;
        boolean delayed = inProgress || nowNanos - (beganNanos + reloadNanos) <= 2 * reloadNanos;
        return delayed ? Math.min(MAX_SIGNAL_DELAY_MICROS, (nowNanos - beganNanos) / TimeUnits.NANOS_PER_MICRO) : 0;
    }

    /**
     * Reads the files again, on the signal's thread; the event loop only takes over the result. Signals are handled one
     * after the other, so that the last one determines the configuration. An invalid file changes nothing.
     */
    private synchronized void reload() {
        reloadBeganNanos = System.nanoTime();
        try {
            server.reload(BalancerConfig.load(configPath));
        } catch (InvalidConfigException e) {
            server.log("reload: the old configuration stays in force: " + e.getMessage());
        }
        if (features != null) {
            features.reload(server::log);
        }
        reloadEndedNanos = System.nanoTime();
    }
}
