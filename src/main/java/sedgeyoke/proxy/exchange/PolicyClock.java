package sedgeyoke.proxy.exchange;

import sedgeyoke.proxy.common.TimeUnits;

/**
 * The policy's clock, which also measures how late the event loop is. Times are microseconds: the wall-clock time at
 * the start, advanced by the monotonic clock. Event loop only, except {@link #now}.
 */
public final class PolicyClock {
    private static final long NANOS_PER_MICRO = 1_000;

    private final long startMicros = System.currentTimeMillis() * TimeUnits.MICROS_PER_MILLI;
    private final long startNanos = System.nanoTime();
    /** When the timer that the policy set last is due; the policy always has a timer running. */
    private long timerDueMicros = Long.MAX_VALUE;
    /** How late the last timer ran. */
    private long lastTimerDelayMicros;
    /** How late the timer before that one ran. */
    private long earlierTimerDelayMicros;

    /** The current time. May be called on any thread. */
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

    /** How late the event loop is, measured by its timers; input that it reads now may have waited for as long. */
    long loopDelayMicros() {
        return Math.max(lastTimerDelayMicros, now() - timerDueMicros);
    }

    /**
     * How long a request that is read now may have waited in the socket. It arrived after the event loop last selected
     * readable sockets, so the delays of the current pass and of the one before add up. Input on a new connection may
     * have waited one pass longer, until the connection was accepted.
     */
    long readDelayMicros(boolean newConnection) {
        long currentDelayMicros = Math.max(0, now() - timerDueMicros);
        return currentDelayMicros + lastTimerDelayMicros + (newConnection ? earlierTimerDelayMicros : 0);
    }
}
