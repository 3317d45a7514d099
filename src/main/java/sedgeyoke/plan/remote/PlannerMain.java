package sedgeyoke.plan.remote;

import io.netty.channel.EventLoop;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.function.LongSupplier;
import sedgeyoke.proxy.common.RateLimitedLog;
import sedgeyoke.settings.OperatorFile;
import sedgeyoke.settings.PlannerSettings;
import sedgeyoke.startup.ServerStartup;
import sedgeyoke.startup.StartupException;

/** Runs one planner as a process. */
public final class PlannerMain {
    private PlannerMain() {}

    /**
     * Runs until SIGTERM. A planner has no state to save, so the signal may end it at any moment.
     *
     * @param operatorFile path of the operator's file, null if none was named
     * @return {@link StartupException#EXIT_CODE} if the planner cannot start; does not return otherwise
     */
    public static int run(Path operatorFile) throws InterruptedException {
        try {
            PlannerSettings settings = ServerStartup.load(operatorFile, OperatorFile::planner);
            ServerStartup.requireEnabled(settings.enabled(), operatorFile, "planner.enabled");
            start(settings);
        } catch (StartupException e) {
            return e.report();
        }
        new CountDownLatch(1).await();
        return 0;
    }

    private static void start(PlannerSettings settings) throws StartupException {
        EventLoop loop = ServerStartup.newEventLoop();
        LongSupplier clock = ServerStartup.clockSinceEpoch();
        RateLimitedLog log = new RateLimitedLog(System.err, clock);
        ServerStartup.listen("planner " + settings.name(), settings.listen(), () -> new PlannerServer(
                        loop, settings, ServerStartup.newIncarnation(), clock, log::line)
                .start());
    }
}
