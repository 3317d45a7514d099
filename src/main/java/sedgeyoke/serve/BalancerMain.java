package sedgeyoke.serve;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import sedgeyoke.proxy.BalancerConfig;
import sedgeyoke.proxy.BalancerServer;
import sedgeyoke.proxy.JitWarmUp;

/**
 * Starts one balancer from its environment and ends it in order on SIGTERM. What the operator's file turns on is in
 * {@link OptionalFeatures}, which is loaded only where such a file is named.
 */
public final class BalancerMain {
    private static final String USAGE = "usage: serve [--config FILE]";
    /** No reading of files holds up a signal for longer, in microseconds; else a broken disk would end us too early. */
    private static final long LONGEST_HELD_UP = 500_000;

    /** Who takes a SIGHUP; null until there is anyone. */
    private static BalancerMain running;
    /** Whether one came before: what was read then may be older than what it speaks of. */
    private static boolean hungUp;

    private final String configPath;
    private final BalancerServer server;
    private final OptionalFeatures features;
    /** When the last reading of files began and ended, by the monotonic clock; 0 for not yet. */
    private volatile long reloadBegan;

    private volatile long reloadEnded;

    private BalancerMain(String configPath, BalancerServer server, OptionalFeatures features) {
        this.configPath = configPath;
        this.server = server;
        this.features = features;
    }

    /** Runs until SIGTERM; ends with 2 if a configuration or the address to listen on is no good. */
    public static void main(String[] args) throws InterruptedException {
        String operator = System.getenv("SEDGEYOKE_OPERATOR");
        if (args.length == 2 && args[0].equals("--config")) {
            operator = args[1];
        } else if (args.length > 0) {
            fail(USAGE);
        }
        ReloadSignal.run(BalancerMain::hangup); // first: without it SIGHUP is our end
        String path = System.getenv("BALANCER_CONFIG");
        BalancerConfig config = null;
        OptionalFeatures features = null;
        try {
            config = BalancerConfig.load(path);
            features = operator == null || operator.isEmpty() ? null : OptionalFeatures.load(operator);
        } catch (BalancerConfig.Bad | OptionalFeatures.Bad e) {
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
        start(main);
        JitWarmUp.run(config, JitWarmUp.requests(config), JitWarmUp.TIMEOUT_SECONDS);
        // Before the first client may come: a signal that found no hook would end us with what is taken unanswered.
        Runtime.getRuntime().addShutdownHook(new Thread(main::end));
        ChannelFuture bound = server.bind().await();
        if (!bound.isSuccess()) {
            fail("cannot listen on " + config.listen() + ": " + bound.cause().getMessage());
        }
        ChannelFuture door = server.openDoor();
        if (door != null && !door.await().isSuccess()) {
            fail("cannot listen for operators on " + config.ops() + ": "
                    + door.cause().getMessage());
        }
        try {
            if (features != null) {
                features.start(loop, server, config);
            }
        } catch (OptionalFeatures.Bad e) {
            fail(e.getMessage());
        }
        System.err.println(config.name() + " listens on " + bound.channel().localAddress());
    }

    private static void start(BalancerMain main) {
        boolean again;
        synchronized (BalancerMain.class) {
            running = main;
            again = hungUp;
        }
        if (again) {
            main.reload();
        }
    }

    private static void hangup() {
        BalancerMain main;
        synchronized (BalancerMain.class) {
            main = running;
            hungUp |= main == null;
        }
        if (main != null) {
            main.reload();
        }
    }

    /** The clients' listener where the platform holds it, as descriptor 0; null where we are to bind our own. */
    private static ServerSocketChannel inherited() {
        String named = System.getenv("BALANCER_ACCEPT_FD");
        if (named == null || named.isEmpty()) {
            return null;
        }
        try {
            if (named.equals("0") && System.inheritedChannel() instanceof ServerSocketChannel listener) {
                return listener;
            }
            fail("BALANCER_ACCEPT_FD=" + named + ": no listening socket is there; descriptor 0 is taken");
        } catch (IOException e) {
            fail("BALANCER_ACCEPT_FD=" + named + ": " + e.getMessage());
        }
        return null;
    }

    private static void fail(String why) {
        System.err.println("cannot start: " + why);
        System.exit(2);
    }

    /**
     * A signal that came while files were being read waits for the processor as they do, and for what they left to be
     * done: as long again.
     */
    private void end() {
        long now = System.nanoTime();
        long began = reloadBegan;
        boolean heldUp = began != 0 && (reloadEnded - began < 0 || now - reloadEnded <= 2 * (reloadEnded - began));
        server.end(heldUp ? Math.min(LONGEST_HELD_UP, (now - began) / 1_000) : 0);
    }

    /**
     * Reads the files again, on the thread of the signal; the loop only takes over the result. Several signals are
     * handled in turn, so that what was read last is in force last. A bad file changes nothing.
     */
    private synchronized void reload() {
        reloadBegan = System.nanoTime();
        try {
            server.reload(BalancerConfig.load(configPath));
        } catch (BalancerConfig.Bad e) {
            server.log("reload: the old configuration stays in force: " + e.getMessage());
        }
        if (features != null) {
            features.reload(server::log);
        }
        reloadEnded = System.nanoTime();
    }
}
