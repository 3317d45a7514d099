package sedgeyoke.plan.remote;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.concurrent.CountDownLatch;
import java.util.function.LongSupplier;
import sedgeyoke.proxy.RateLimitedLog;
import sedgeyoke.settings.InvalidOperatorFileException;
import sedgeyoke.settings.OperatorFile;
import sedgeyoke.settings.PlannerSettings;

/** One planner as a process. */
public final class PlannerMain {
    private PlannerMain() {}

    /** Runs until SIGTERM; returns 2 if the file or the address is no good. */
    public static int run(Path operator) throws InterruptedException {
        PlannerSettings settings;
        try {
            if (operator == null) {
                return fail("no operator's file: --config or SEDGEYOKE_OPERATOR must name one");
            }
            settings = OperatorFile.load(operator).planner();
        } catch (InvalidOperatorFileException e) {
            return fail(e.getMessage());
        }
        if (!settings.enabled()) {
            return fail(operator + ": planner.enabled is not true");
        }
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        long startedAt = System.currentTimeMillis() * 1_000;
        long startedNanos = System.nanoTime();
        LongSupplier clock = () -> startedAt + (System.nanoTime() - startedNanos) / 1_000;
        try {
            PlannerServer server = new PlannerServer(
                    loop,
                    settings,
                    new SecureRandom().nextLong() | 1,
                    clock,
                    new RateLimitedLog(System.err, clock)::line);
            System.err.println("planner " + settings.name() + " listens on " + server.start());
        } catch (IOException e) {
            return fail(e.getMessage());
        } catch (RuntimeException e) { // Netty throws what the bind failed with, without declaring it
            return fail("cannot listen on " + settings.listen() + ": " + e.getMessage());
        }
        new CountDownLatch(1).await(); // a planner owes nobody an answer: SIGTERM may end it at any moment
        return 0;
    }

    private static int fail(String why) {
        System.err.println("cannot start: " + why);
        return 2;
    }
}
