package astergate.net;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Starts one balancer from its environment and ends it in order on SIGTERM. */
public final class Main {
    /** New connections go on coming for up to 0.4 s after SIGTERM; only then is the listener closed. */
    private static final long LISTEN_ON_MS = 550;
    private static final long LOOK_EVERY_MS = 5;

    private final EventLoop loop;
    private final Node node;
    private final Frontend frontend;
    private final CountDownLatch done = new CountDownLatch(1);

    Main(EventLoop loop, Config config, Node node) {
        this.loop = loop;
        this.node = node;
        this.frontend = new Frontend(loop, config, node);
    }

    /** Runs until SIGTERM; ends with 2 if the configuration or the address to listen on is no good. */
    public static void main(String[] args) throws InterruptedException {
        Config config;
        try {
            config = Config.load(System.getenv("BALANCER_CONFIG"));
        } catch (Config.Bad e) {
            fail(e.getMessage());
            return;
        }
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        Main main;
        try {
            main = new Main(loop, config, new Node(loop, config));
        } catch (IllegalArgumentException e) {
            fail("settings: " + e.getMessage());
            return;
        }
        ChannelFuture bound = main.bind().await();
        if (!bound.isSuccess()) {
            fail("cannot listen on " + config.listen() + ": " + bound.cause().getMessage());
            return;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(main::end));
        System.err.println(config.name() + " listens on " + bound.channel().localAddress());
    }

    /** Listens, and starts the module once that has worked. */
    ChannelFuture bind() {
        return frontend.bind().addListener(bound -> {
            if (bound.isSuccess()) {
                node.start();
            }
        });
    }

    private static void fail(String why) {
        System.err.println("cannot start: " + why);
        System.exit(2);
    }

    /** Runs in the shutdown hook, which the JVM waits for: serve on, then close, then finish what is held. */
    void end() {
        loop.execute(frontend::drain);
        loop.schedule(this::close, LISTEN_ON_MS, TimeUnit.MILLISECONDS);
        try {
            done.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void close() {
        frontend.close();
        loop.scheduleWithFixedDelay(() -> {
            if (node.idle() && frontend.closed()) {
                done.countDown();
            }
        }, 0, LOOK_EVERY_MS, TimeUnit.MILLISECONDS);
    }
}
