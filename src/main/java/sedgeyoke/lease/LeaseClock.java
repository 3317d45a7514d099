package sedgeyoke.lease;

/**
 * The arithmetic of leases between processes whose clocks share nothing but a bound on their drift. Each side counts
 * from the moment that is safe for the others: whoever waits for a lease to expire counts from a late moment and
 * takes it for longer, whoever uses a lease counts from an early moment and takes it for shorter. Times and durations
 * are in one unit; times are by the clock of the process that asks.
 */
public class LeaseClock {
    /** A grant is shorter than the lease behind it, so that it ends before the lease is taken back. */
    private static final double GRANT_FRACTION = 0.4;

    private final ClockDrift drift;

    /** {@code driftPpm}: how many parts per million any clock may run fast or slow. */
    public LeaseClock(long driftPpm) {
        this.drift = new ClockDrift(driftPpm);
    }

    /** Until when a lender does not use itself what it deposited with a message sent at {@code sentAt}. */
    public long reservedUntil(long sentAt, long lease) {
        return sentAt + drift.upperBound(lease);
    }

    /** Until when a process that has just started uses none of its quota: its predecessor may have lent it. */
    public long startupQuietUntil(long startedAt, long lease) {
        return startedAt + drift.upperBound(lease);
    }

    /**
     * Until when a planner counts on a deposit. The deposit was made after the message that it echoes was sent, however
     * late it was received.
     */
    public long depositCountsUntil(long echoedAt, long receivedAt, long lease) {
        return echoedAt + drift.lowerBound(lease);
    }

    /** The duration of a grant, given the lease behind it. */
    public long grantDuration(long lease) {
        return (long) (lease * GRANT_FRACTION);
    }

    /** Until when a forwarder uses a grant: counted from when it sent the report that the grant responds to. */
    public long grantUsableUntil(long echoedAt, long receivedAt, long grantDuration) {
        return echoedAt + drift.lowerBound(grantDuration);
    }

    /** Until when a planner assumes that a grant is in use: counted from when the report for it was received. */
    public long grantOutstandingUntil(long reportedAt, long grantDuration) {
        return reportedAt + drift.upperBound(grantDuration);
    }
}
