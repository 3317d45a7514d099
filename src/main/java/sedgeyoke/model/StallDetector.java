package sedgeyoke.model;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Detects when the loop that observes a run did not get to run itself. What it records right after a stall may have
 * happened before, so that no process under test must be blamed for the delay. Times are microseconds.
 */
final class StallDetector {
    private static final long REMEMBERED_MICROS = 30_000_000;

    private final long intervalMicros;
    private final Deque<Stall> stalls = new ArrayDeque<>();
    private long lastCheckMicros = Long.MIN_VALUE;
    private long totalMicros;

    /** {@link #check} is to be called at this interval. */
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
