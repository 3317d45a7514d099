package sedgeyoke.lease;

/**
 * The arithmetic of leases on clocks that agree on nothing but, within a bound, on how fast time passes. Each side
 * counts from the moment that is safe for the others: who lends or counts what others hold, long; who uses what was
 * lent, short. Every time is one of the clock of the side that asks.
 */
public class LeaseClock {
    private static final double GRANT_FRACTION = 0.4;
    private final ClockDrift drift;

    /** {@code driftPpm}: how far any clock may run fast or slow, in parts per million. */
    public LeaseClock(long driftPpm) {
        this.drift = new ClockDrift(driftPpm);
    }

    /** A lender keeps off until then what it deposited at {@code sentAt}. */
    public long reservedUntil(long sentAt, long lease) {
        return sentAt + drift.upperBound(lease);
    }

    /** A process that has just started keeps off all its rights until then: one before it may have lent them. */
    public long startupQuietUntil(long startedAt, long lease) {
        return startedAt + drift.upperBound(lease);
    }

    /**
     * A planner counts on a deposit until then. It was made after the message that it echoes was sent, however long
     * it took to come.
     */
    public long depositCountsUntil(long echoedAt, long receivedAt, long lease) {
        return echoedAt + drift.lowerBound(lease);
    }

    /** How long a grant holds, given the lease behind it. */
    public long grantDuration(long lease) {
        return (long) (lease * GRANT_FRACTION);
    }

    /** A forwarder uses a grant until then: it counts from when it sent the report that the grant answers. */
    public long grantUsableUntil(long echoedAt, long receivedAt, long grantFor) {
        return echoedAt + drift.lowerBound(grantFor);
    }

    /** A planner takes a grant for used until then: it counts from when the report that it answers had come. */
    public long grantOutstandingUntil(long reportedAt, long grantFor) {
        return reportedAt + drift.upperBound(grantFor);
    }
}
