package sedgeyoke.model;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/**
 * The cores of a node as a processor-sharing server: all tasks progress alike, and beyond some tasks for each core the
 * total gets less. Work is in seconds on a core of speed 1, times are microseconds.
 *
 * <p>{@link #advance} must be called before anything changes that the pace depends on: tasks or the speed of a core.
 *
 * @param <T> what identifies a task
 */
final class SharedCores<T> {
    /** Efficiency falls from this many tasks for each core, to its lowest at twice as many. */
    private static final double CROWDED_FROM = 6;

    private static final double MAX_CROWDED_LOSS = 0.4;

    private final int cores;
    /** By the progress at which each is done. */
    private final PriorityQueue<Task<T>> tasks = new PriorityQueue<>();
    /** Seconds of work done for a task that was there all the time. */
    private double progress;

    private long advancedMicros;
    private long started;
    private double busyMicros;

    SharedCores(int cores) {
        this.cores = cores;
    }

    /** A task, with the time of its start and the progress at which it is done. */
    record Task<T>(T identity, double doneAt, long startMicros, long number) implements Comparable<Task<T>> {
        @Override
        public int compareTo(Task<T> other) {
            int byProgress = Double.compare(doneAt, other.doneAt);
            return byProgress != 0 ? byProgress : Long.compare(number, other.number);
        }
    }

    /** Sets the time from which work is counted. */
    void startAt(long nowMicros) {
        advancedMicros = nowMicros;
    }

    /** Does the work since the last call at a speed of each core. */
    void advance(long nowMicros, double coreSpeed) {
        long elapsed = nowMicros - advancedMicros;
        busyMicros += elapsed * (double) Math.min(tasks.size(), cores);
        progress += elapsed * pace(coreSpeed);
        advancedMicros = nowMicros;
    }

    /** Starts a task. */
    void start(T identity, double work, long nowMicros) {
        tasks.add(new Task<>(identity, progress + work, nowMicros, started++));
    }

    /** Removes and returns the tasks that are done. Half a microsecond of missing work is below the clock's step. */
    List<Task<T>> removeDone(double coreSpeed) {
        List<Task<T>> done = new ArrayList<>();
        while (!tasks.isEmpty() && tasks.peek().doneAt() <= progress + pace(coreSpeed) / 2) {
            done.add(tasks.poll());
        }
        return done;
    }

    /** Time until the next task is done if nothing changes; there must be a task. */
    long microsUntilNextDone(double coreSpeed) {
        double workLeft = Math.max(0, tasks.peek().doneAt() - progress);
        return Math.max(1, Math.round(workLeft / pace(coreSpeed)));
    }

    /** Drops all tasks. */
    void clear() {
        tasks.clear();
    }

    int size() {
        return tasks.size();
    }

    /** Core time that was used since the start. */
    double busyMicros() {
        return busyMicros;
    }

    /** Seconds of work done for each task in a microsecond. */
    private double pace(double coreSpeed) {
        double tasksPerCore = tasks.size() / (double) cores;
        double crowded = Math.min(1, Math.max(0, tasksPerCore / CROWDED_FROM - 1));
        return coreSpeed / Math.max(1, tasksPerCore) * (1 - MAX_CROWDED_LOSS * crowded) / 1e6;
    }
}
