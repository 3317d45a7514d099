package sedgeyoke.proxy.lifecycle;

/**
 * Computes the deadlines of a graceful shutdown, in microseconds of the policy's clock. SIGKILL follows SIGTERM after a
 * known time, but the process notices SIGTERM only when a thread of the JVM gets to run: 60 to 200 ms later if a
 * configuration is just being read on half a core. So all deadlines are counted from the earliest time at which the
 * signal may have been sent, and the later a check has run since, the more time is reserved before SIGKILL.
 */
public final class ShutdownDeadlines {
    /** New connections may arrive for up to 0.4 s after SIGTERM, so the listener is closed only after that. */
    private static final long LISTEN_TIME_MICROS = 550_000;
    /** SIGKILL follows SIGTERM after this time plus the longest deadline (PROTOCOL, "Figures"). */
    private static final long KILL_DELAY_MICROS = 700_000;
    /** Minimum time between the last response and SIGKILL: what a signal may take to arrive on part of a core. */
    private static final long MIN_RESERVE_MICROS = 250_000;
    /** Time that the last accepted request gets for its response. */
    private static final long LAST_REQUEST_BUDGET_MICROS = 120_000;
    /** A process that ran late once may do so again while the last responses are sent. */
    private static final int DELAY_RESERVE_FACTOR = 2;

    private final long signalTimeMicros;
    private final long killTimeMicros;
    private long nextCheckMicros;
    private long worstDelayMicros;

    /**
     * Computes the deadlines of a shutdown.
     *
     * @param signalTimeMicros the earliest time at which SIGTERM may have been sent
     * @param longestDeadlineMicros the longest time that a client waits for a response
     */
    public ShutdownDeadlines(long signalTimeMicros, long longestDeadlineMicros) {
        this.signalTimeMicros = signalTimeMicros;
        this.killTimeMicros = signalTimeMicros + longestDeadlineMicros + KILL_DELAY_MICROS;
        this.nextCheckMicros = signalTimeMicros;
    }

    /** Sets the time at which the next {@link #recordCheck} is due. */
    public void scheduleCheck(long timeMicros) {
        nextCheckMicros = timeMicros;
    }

    /** Records that a check runs now and returns how late it is. The worst delay increases the reserve. */
    public long recordCheck(long nowMicros) {
        long delayMicros = nowMicros - nextCheckMicros;
        worstDelayMicros = Math.max(worstDelayMicros, delayMicros);
        return delayMicros;
    }

    /** Until this time new connections may arrive. */
    public long listenUntilMicros() {
        return signalTimeMicros + LISTEN_TIME_MICROS;
    }

    /** From this time on no request is accepted. */
    public long lastRequestMicros() {
        return Math.max(listenUntilMicros(), lastResponseMicros() - LAST_REQUEST_BUDGET_MICROS);
    }

    /** By this time every response has been sent. */
    public long lastResponseMicros() {
        return killTimeMicros - Math.max(MIN_RESERVE_MICROS, DELAY_RESERVE_FACTOR * worstDelayMicros);
    }
}
