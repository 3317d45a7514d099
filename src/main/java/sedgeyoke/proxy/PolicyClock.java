package sedgeyoke.proxy;

/**
 * The policy's clock, and how late the event loop runs its timers. Times are microseconds; the clock is the wall clock
 * at the start, advanced by the monotonic clock. Event loop only, but for {@link #now}.
 */
final class PolicyClock {
    private final long startMicros = System.currentTimeMillis() * 1_000;
    private final long startNanos = System.nanoTime();
    /** When the timer that the policy set last is due; it always has one. */
    private long timerDueMicros = Long.MAX_VALUE;
    /** How late the last timer ran. */
    private long lastTimerDelayMicros;

    long now() {
        return startMicros + (System.nanoTime() - startNanos) / 1_000;
    }

    long sinceStartMicros() {
        return now() - startMicros;
    }

    void timerSet(long dueMicros) {
        timerDueMicros = dueMicros;
    }

    void timerFired(long dueMicros) {
        lastTimerDelayMicros = Math.max(0, now() - dueMicros);
    }

    /** If a timer is overdue or just was, the loop is late, and what it reads may have waited as long to be read. */
    long loopDelayMicros() {
        return Math.max(lastTimerDelayMicros, now() - timerDueMicros);
    }
}
