package sedgeyoke.proxy.lifecycle;

/**
 * Computes the deadlines of a graceful shutdown, in microseconds of the policy's clock. SIGKILL comes a known time
 * after SIGTERM, but the process notices SIGTERM only once a thread of the JVM gets to run: 60 to 200 ms later where a
 * new configuration is just being read on half a core. All deadlines are therefore counted from the earliest time at
 * which the signal may have been sent, and the later a check has run since, the more time before the kill
 * is reserved.
 */
public final class ShutdownDeadlines {
    /** New connections may arrive for up to 0.4 s after SIGTERM; only then is the listener closed. */
    private static final long LISTEN_TIME_MICROS = 550_000;
    /** SIGKILL follows SIGTERM after this and the longest deadline (PROTOCOL, "Figures"). */
    private static final long KILL_DELAY_MICROS = 700_000;
    /** Responses are out at least so long before it: what a signal may take to arrive on a part of a core. */
    private static final long MIN_RESERVE_MICROS = 250_000;
    /** How much time a last request gets. */
    private static final long LAST_REQUEST_BUDGET_MICROS = 120_000;
    /** A process that ran late once may do so again while the last responses go out. */
    private static final int DELAY_RESERVE_FACTOR = 2;

    private final long signalTimeMicros;
    private final long killTimeMicros;
    private long nextCheckMicros;
    private long worstDelayMicros;

    /**
     * Starts a shutdown.
     *
     * @param signalTimeMicros the earliest time at which SIGTERM may have been sent
     * @param longestDeadlineMicros the longest that a client waits for a response
     */
    public ShutdownDeadlines(long signalTimeMicros, long longestDeadlineMicros) {
        this.signalTimeMicros = signalTimeMicros;
        this.killTimeMicros = signalTimeMicros + longestDeadlineMicros + KILL_DELAY_MICROS;
        this.nextCheckMicros = signalTimeMicros;
    }

    /** The next {@link #recordCheck} is due at this time. */
    public void scheduleCheck(long timeMicros) {
        nextCheckMicros = timeMicros;
    }

    /** Records that a check runs now; returns how late it is. The worst delay enlarges the reserve. */
    public long recordCheck(long nowMicros) {
        long delayMicros = nowMicros - nextCheckMicros;
        worstDelayMicros = Math.max(worstDelayMicros, delayMicros);
        return delayMicros;
    }

    /** Until then new connections may arrive. */
    public long listenUntilMicros() {
        return signalTimeMicros + LISTEN_TIME_MICROS;
    }

    /** From then on no request is accepted. */
    public long lastRequestMicros() {
        return Math.max(listenUntilMicros(), lastResponseMicros() - LAST_REQUEST_BUDGET_MICROS);
    }

    /** By then every response is out. */
    public long lastResponseMicros() {
        return killTimeMicros - Math.max(MIN_RESERVE_MICROS, DELAY_RESERVE_FACTOR * worstDelayMicros);
    }
}
