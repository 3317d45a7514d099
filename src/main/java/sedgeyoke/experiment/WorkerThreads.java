package sedgeyoke.experiment;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Threads that play runs side by side; none of them keeps the program from ending. */
final class WorkerThreads {
    private WorkerThreads() {}

    static ExecutorService pool(int jobs) {
        return Executors.newFixedThreadPool(jobs, task -> {
            Thread thread = new Thread(task, "run");
            thread.setDaemon(true);
            return thread;
        });
    }
}
