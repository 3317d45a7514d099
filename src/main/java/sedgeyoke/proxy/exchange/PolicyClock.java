package sedgeyoke.proxy.exchange;

import sedgeyoke.proxy.common.TimeUnits;

/**
 * Tells the policy's time, and how late the event loop runs its timers. Times are microseconds; the clock is the wall
 * clock at the start, advanced by the monotonic clock. Event loop only, but for {@link #now}.
 */
public final class PolicyClock {
    private static final long NANOS_PER_MICRO = 1_000;

    private final long startMicros = System.currentTimeMillis() * TimeUnits.MICROS_PER_MILLI;
    private final long startNanos = System.nanoTime();
    /** When the timer that the policy set last is due; it always has one. */
    private long timerDueMicros = Long.MAX_VALUE;
    /** How late the last timer ran. */
    private long lastTimerDelayMicros;
    /** How late the one before it ran. */
    private long earlierTimerDelayMicros;

    /** The present time. May be called on any thread. */
    public long now() {
        return startMicros + (System.nanoTime() - startNanos) / NANOS_PER_MICRO;
    }

    long sinceStartMicros() {
        return now() - startMicros;
    }

    /** Records when the timer that the policy has set is due. */
    public void timerSet(long dueMicros) {
        timerDueMicros = dueMicros;
    }

    /** Records how late a timer of the policy fired. */
    public void timerFired(long dueMicros) {
        earlierTimerDelayMicros = lastTimerDelayMicros;
        lastTimerDelayMicros = Math.max(0, now() - dueMicros);
    }

    /** If a timer is overdue or just was, the loop is late, and what it reads may have waited as long to be read. */
    long loopDelayMicros() {
        return Math.max(lastTimerDelayMicros, now() - timerDueMicros);
    }

    /**
     * How long a request that is read now may have waited for that. It came after the loop last looked for what can be
     * read, so that the delays of the present pass and of the one before add up; what a new connection brings may have
     * waited one pass longer, until the connection was accepted.
     */
    long readDelayMicros(boolean newConnection) {
        long presentDelayMicros = Math.max(0, now() - timerDueMicros);
        return presentDelayMicros + lastTimerDelayMicros + (newConnection ? earlierTimerDelayMicros : 0);
    }
}
