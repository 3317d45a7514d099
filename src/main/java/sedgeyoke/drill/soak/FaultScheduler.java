package sedgeyoke.drill.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Runs the later steps of faults, which undo them, and records failures. Thread-safe. */
final class FaultScheduler implements AutoCloseable {
    /** More threads than balancers that may be faulty at a time, as steps block while a process ends or starts. */
    private static final int THREADS = 12;

    private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(THREADS);
    private final List<String> failures = new ArrayList<>();

    /** A step of a fault. */
    interface Step {
        /** Runs the step; an {@link IOException} fails the run. */
        void run() throws IOException, InterruptedException;
    }

    /** Runs a step on another thread. */
    void execute(Step step) {
        schedule(0, step);
    }

    /** Runs a step on another thread after a delay. */
    void schedule(long delayMillis, Step step) {
        try {
            executor.schedule(() -> runOrFail(step), delayMillis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            fail("a step was scheduled after the end of the run: " + e.getMessage());
        }
    }

    private void runOrFail(Step step) {
        try {
            step.run();
        } catch (IOException e) {
            fail(e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until all steps have run; records a failure if some have not by the timeout. */
    void awaitAll(long timeoutMillis) throws InterruptedException {
        executor.shutdown();
        if (!executor.awaitTermination(timeoutMillis, TimeUnit.MILLISECONDS)) {
            fail("faults were not undone in time");
        }
    }

    /** Records a failure of the run. */
    synchronized void fail(String text) {
        failures.add(text);
    }

    /** The failures so far. */
    synchronized List<String> failures() {
        return List.copyOf(failures);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
