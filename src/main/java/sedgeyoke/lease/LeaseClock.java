package sedgeyoke.lease;

/**
 * The arithmetic of leases between processes whose clocks share nothing but a bound on their drift. Each side counts
 * from the moment that is safe for the others: whoever waits for a lease to expire counts from a late moment and
 * takes it for longer, whoever uses a lease counts from an early moment and takes it for shorter. Times are by the
 * clock of the process that asks.
 */
public class LeaseClock {
    /** A grant is shorter than the lease behind it, so that it ends before that lease does. */
    private static final double GRANT_FRACTION = 0.4;

    private final ClockDrift drift;

    /** {@code driftPpm}: how many parts per million any clock may run fast or slow. */
    public LeaseClock(long driftPpm) {
        this.drift = new ClockDrift(driftPpm);
    }

    /** Until when a forwarder does not use itself what it deposited with a message sent at {@code sentAtMicros}. */
    public long reservedUntilMicros(long sentAtMicros, long leaseMicros) {
        return sentAtMicros + drift.upperBoundMicros(leaseMicros);
    }

    /** Until when a started process uses none of its own quota: an earlier incarnation may have delegated it. */
    public long ownQuotaBlockedUntilMicros(long startedAtMicros, long leaseMicros) {
        return startedAtMicros + drift.upperBoundMicros(leaseMicros);
    }

    /**
     * Until when a planner counts on a deposit. The deposit was made after the message that it echoes was sent, however
     * late it was received.
     */
    public long depositCountsUntilMicros(long echoedAtMicros, long receivedAtMicros, long leaseMicros) {
        return echoedAtMicros + drift.lowerBoundMicros(leaseMicros);
    }

    /** The duration of a grant, given the lease behind it. */
    public long grantDurationMicros(long leaseMicros) {
        return (long) (leaseMicros * GRANT_FRACTION);
    }

    /** Until when a forwarder uses a grant: counted from when it sent the report that the grant responds to. */
    public long grantUsableUntilMicros(long echoedAtMicros, long receivedAtMicros, long grantDurationMicros) {
        return echoedAtMicros + drift.lowerBoundMicros(grantDurationMicros);
    }

    /** Until when a planner assumes that a grant is in use: counted from when the report for it was received. */
    public long grantOutstandingUntilMicros(long reportedAtMicros, long grantDurationMicros) {
        return reportedAtMicros + drift.upperBoundMicros(grantDurationMicros);
    }
}
