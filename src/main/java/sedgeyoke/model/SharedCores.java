package sedgeyoke.model;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/**
 * The cores of a node as a processor-sharing server: all tasks progress at the same rate, and total throughput falls
 * once there are more than {@link #CONTENTION_TASKS_PER_CORE} tasks for each core. Work is in seconds on a core of
 * speed 1, times are microseconds.
 *
 * <p>{@link #advance} must be called before a change of what the rate depends on: the tasks and the speed of a core.
 *
 * @param <T> what identifies a task
 */
final class SharedCores<T> {
    /** Tasks for each core from which throughput falls; it is lowest at twice as many. */
    private static final double CONTENTION_TASKS_PER_CORE = 6;

    private static final double MAX_CONTENTION_LOSS = 0.4;

    private final int cores;
    /** Ordered by the progress at which each is done. */
    private final PriorityQueue<Task<T>> tasks = new PriorityQueue<>();
    /** Seconds of work that a task present since the start would have received. */
    private double progress;

    private long advancedMicros;
    private long started;
    private double busyMicros;

    SharedCores(int cores) {
        this.cores = cores;
    }

    /** A task with its start time and the progress at which it is done; equal tasks are ordered by number. */
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

    /** Accounts for the work done since the last call, with each core at the given speed. */
    void advance(long nowMicros, double coreSpeed) {
        long elapsed = nowMicros - advancedMicros;
        busyMicros += elapsed * (double) Math.min(tasks.size(), cores);
        progress += elapsed * workPerTaskMicro(coreSpeed);
        advancedMicros = nowMicros;
    }

    /** Starts a task. */
    void start(T identity, double work, long nowMicros) {
        tasks.add(new Task<>(identity, progress + work, nowMicros, started++));
    }

    /** Removes and returns the tasks that are done, or would be within half a microsecond, half a step of the clock. */
    List<Task<T>> removeDone(double coreSpeed) {
        List<Task<T>> done = new ArrayList<>();
        while (!tasks.isEmpty() && tasks.peek().doneAt() <= progress + workPerTaskMicro(coreSpeed) / 2) {
            done.add(tasks.poll());
        }
        return done;
    }

    /** Time until the next task is done if nothing changes; requires at least one task. */
    long microsUntilNextDone(double coreSpeed) {
        double workLeft = Math.max(0, tasks.peek().doneAt() - progress);
        return Math.max(1, Math.round(workLeft / workPerTaskMicro(coreSpeed)));
    }

    /** Drops all tasks. */
    void clear() {
        tasks.clear();
    }

    int size() {
        return tasks.size();
    }

    /** Core time used since the start. */
    double busyMicros() {
        return busyMicros;
    }

    /** Seconds of work that each task receives in a microsecond. */
    private double workPerTaskMicro(double coreSpeed) {
        double tasksPerCore = tasks.size() / (double) cores;
        double contention = Math.min(1, Math.max(0, tasksPerCore / CONTENTION_TASKS_PER_CORE - 1));
        return coreSpeed / Math.max(1, tasksPerCore) * (1 - MAX_CONTENTION_LOSS * contention) / 1e6;
    }
}
