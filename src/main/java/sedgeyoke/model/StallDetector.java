package sedgeyoke.model;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Detects stalls of the event loop that observes a run. Events recorded right after a stall may have happened earlier,
 * so the delay must not count against the processes under test. Times are microseconds.
 */
final class StallDetector {
    private static final long REMEMBERED_MICROS = 30_000_000;

    private final long intervalMicros;
    private final Deque<Stall> stalls = new ArrayDeque<>();
    private long lastCheckMicros = Long.MIN_VALUE;
    private long totalMicros;

    /** Creates a detector whose {@link #check} must be called at this interval. */
    StallDetector(long intervalMicros) {
        this.intervalMicros = intervalMicros;
    }

    private record Stall(long startMicros, long durationMicros) {
        long endMicros() {
            return startMicros + durationMicros;
        }
    }

    /** Records a stall if this call is late by more than an interval. */
    void check(long nowMicros) {
        long lateMicros = lastCheckMicros == Long.MIN_VALUE ? 0 : nowMicros - lastCheckMicros - intervalMicros;
        lastCheckMicros = nowMicros;
        if (lateMicros > intervalMicros) {
            stalls.add(new Stall(nowMicros - lateMicros, lateMicros));
            totalMicros += lateMicros;
        }
        while (!stalls.isEmpty() && stalls.peek().startMicros() < nowMicros - REMEMBERED_MICROS) {
            stalls.poll();
        }
    }

    /** The total duration of the stalls that ended after a time. */
    long stalledSince(long startMicros) {
        long sum = 0;
        for (Stall stall : stalls) {
            sum += stall.endMicros() > startMicros ? stall.durationMicros() : 0;
        }
        return sum;
    }

    /** The total duration of all stalls. */
    long totalMicros() {
        return totalMicros;
    }
}
