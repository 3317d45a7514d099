package sedgeyoke.experiment;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Creates thread pools for parallel runs, with daemon threads so that they do not keep the JVM alive. */
final class WorkerThreads {
    private WorkerThreads() {}

    static ExecutorService newPool(int threads) {
        return Executors.newFixedThreadPool(threads, task -> {
            Thread thread = new Thread(task, "run");
            thread.setDaemon(true);
            return thread;
        });
    }
}
