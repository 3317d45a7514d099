package sedgeyoke.serve;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
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
    private static final String USAGE = "usage: serve [--config FILE]";
    /** A reload is taken to delay a signal no longer than this, or a broken disk would make the shutdown too short. */
    private static final long MAX_SIGNAL_DELAY_MICROS = 500_000;

    /** The balancer that handles SIGHUP; null until it can. */
    private static BalancerMain running;
    /** Whether a SIGHUP arrived before that: the files that were read may be older than the change. */
    private static boolean reloadPending;

    private final String configPath;
    private final BalancerServer server;
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
        String operator = System.getenv("SEDGEYOKE_OPERATOR");
        if (args.length == 2 && args[0].equals("--config")) {
            operator = args[1];
        } else if (args.length > 0) {
            fail(USAGE);
        }
        ReloadSignal.run(BalancerMain::onReloadSignal); // first: without it SIGHUP ends the JVM
        String path = System.getenv("BALANCER_CONFIG");
        BalancerConfig config = null;
        OptionalFeatures features = null;
        try {
            config = BalancerConfig.load(path);
            features = operator == null || operator.isEmpty() ? null : OptionalFeatures.load(operator);
        } catch (InvalidConfigException | InvalidFeatureException e) {
            fail(e.getMessage());
        } catch (NoClassDefFoundError e) { // 'run' has no library of a feature
            fail(operator + " needs target/lib/features/* on the class path: start with 'bin/sedgeyoke serve'");
        }
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        BalancerServer server = null;
        try {
            server = BalancerServer.onSockets(
                    loop, config, features == null ? config.bodies() : features.bodies(), inherited());
        } catch (IllegalArgumentException e) {
            fail("settings: " + e.getMessage());
        }
        BalancerMain main = new BalancerMain(path, server, features);
        handleReloadSignals(main);
        server.start();
        JitWarmUp.run(config, JitWarmUp.requests(config), JitWarmUp.TIMEOUT_SECONDS);
        // Before the first client can connect: without a hook, SIGTERM would leave accepted requests unanswered.
        Runtime.getRuntime().addShutdownHook(new Thread(main::shutDown));
        ChannelFuture bound = server.bind().await();
        if (!bound.isSuccess()) {
            fail("cannot listen on " + config.listen() + ": " + bound.cause().getMessage());
        }
        ChannelFuture adminEndpoint = server.bindAdminEndpoint();
        if (adminEndpoint != null && !adminEndpoint.await().isSuccess()) {
            fail("cannot listen for operators on " + config.adminAddress() + ": "
                    + adminEndpoint.cause().getMessage());
        }
        try {
            if (features != null) {
                features.start(loop, server, config);
            }
        } catch (InvalidFeatureException e) {
            fail(e.getMessage());
        }
        System.err.println(config.name() + " listens on " + bound.channel().localAddress());
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
    private static ServerSocketChannel inherited() {
        String descriptor = System.getenv("BALANCER_ACCEPT_FD");
        if (descriptor == null || descriptor.isEmpty()) {
            return null;
        }
        try {
            if (descriptor.equals("0") && System.inheritedChannel() instanceof ServerSocketChannel listener) {
                return listener;
            }
            fail("BALANCER_ACCEPT_FD=" + descriptor + ": no listening socket is there; descriptor 0 is taken");
        } catch (IOException e) {
            fail("BALANCER_ACCEPT_FD=" + descriptor + ": " + e.getMessage());
        }
        return null;
    }

    private static void fail(String reason) {
        System.err.println("cannot start: " + reason);
        System.exit(2);
    }

    /**
     * Shuts down. A reload delays the signal, as both wait for the processor, and the work that it leaves behind delays
     * it for about as long again; the shutdown takes that into account.
     */
    private void shutDown() {
        long nowNanos = System.nanoTime();
        long beganNanos = reloadBeganNanos;
        boolean delayedByReload = beganNanos != 0
                && (reloadEndedNanos - beganNanos < 0
                        || nowNanos - reloadEndedNanos <= 2 * (reloadEndedNanos - beganNanos));
        server.shutDown(delayedByReload ? Math.min(MAX_SIGNAL_DELAY_MICROS, (nowNanos - beganNanos) / 1_000) : 0);
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
