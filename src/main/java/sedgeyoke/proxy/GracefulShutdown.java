package sedgeyoke.proxy;

/**
 * The moments of an end on SIGTERM, in microseconds of the module's clock. SIGKILL comes a known time after SIGTERM,
 * but we know of SIGTERM only once a thread of the JVM has had the time to tell us: 60 to 200 ms later where a new
 * configuration was just being read on half a core (roll+mass). All of what is left is therefore counted from the
 * earliest moment at which the signal may have come, and the more time before the kill is kept free the later we were
 * seen to be since.
 */
final class GracefulShutdown {
    /** New connections go on coming for up to 0.4 s after SIGTERM; only then is the listener closed. */
    private static final long LISTEN_ON = 550_000;
    /** SIGKILL comes so long after SIGTERM, and the longest deadline more (PROTOCOL, "Figures"). */
    private static final long KILLED_AFTER = 700_000;
    /** Answers are out so long before it at the least: what a signal may take to reach us on a part of a core. */
    private static final long LEAST_SPARE = 250_000;
    /** How much time a last request gets. */
    private static final long LAST_BUDGET = 120_000;
    /** What has been late once may be late again while the last answers go out. */
    private static final int AGAIN = 2;

    private final long told;
    private final long killed;
    private long due;
    private long worst;

    /** {@code told}: when the signal may have come at the earliest; {@code longestDeadline}: that of any request. */
    GracefulShutdown(long told, long longestDeadline) {
        this.told = told;
        this.killed = told + longestDeadline + KILLED_AFTER;
        this.due = told;
    }

    /** The next look is due then. */
    void due(long at) {
        due = at;
    }

    /** A look; one that comes late leaves less time to the kill. How late it is. */
    long looked(long now) {
        worst = Math.max(worst, now - due);
        return now - due;
    }

    /** Until then new connections may come. */
    long listenUntil() {
        return told + LISTEN_ON;
    }

    /** From then on no request is taken. */
    long lastRequest() {
        return Math.max(listenUntil(), lastAnswer() - LAST_BUDGET);
    }

    /** By then every answer is out. */
    long lastAnswer() {
        return killed - Math.max(LEAST_SPARE, AGAIN * worst);
    }
}
