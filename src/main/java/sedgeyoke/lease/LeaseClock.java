package sedgeyoke.lease;

/**
 * Computes until when leases of slow-start quota hold, for forwarders and planners whose clocks are not synchronized
 * and only have a bounded drift. Each process errs on the safe side: one that waits for a lease to expire counts from
 * the latest possible start and adds the drift; one that uses a lease counts from the earliest possible start and
 * subtracts the drift. Times are microseconds of the calling process's clock.
 */
public class LeaseClock {
    /** Duration of a grant per duration of the lease that backs it; below 1, so that the grant expires first. */
    private static final double GRANT_FRACTION = 0.4;

    private final ClockDrift drift;

    /** Creates the calculation for clocks that run fast or slow by at most {@code driftPpm} parts per million. */
    public LeaseClock(long driftPpm) {
        this.drift = new ClockDrift(driftPpm);
    }

    /** Until when a forwarder must not use the quota that it deposited with a message sent at {@code sentAtMicros}. */
    public long reservedUntilMicros(long sentAtMicros, long leaseMicros) {
        return sentAtMicros + drift.upperBoundMicros(leaseMicros);
    }

    /** Until when a started process must not use its own quota: an earlier incarnation may have delegated it. */
    public long ownQuotaBlockedUntilMicros(long startedAtMicros, long leaseMicros) {
        return startedAtMicros + drift.upperBoundMicros(leaseMicros);
    }

    /**
     * Until when a planner may grant deposited quota. Counted from when the planner sent the message that the deposit
     * echoes: the deposit was made later than that, however late it arrived.
     */
    public long depositCountsUntilMicros(long echoedAtMicros, long receivedAtMicros, long leaseMicros) {
        return echoedAtMicros + drift.lowerBoundMicros(leaseMicros);
    }

    /** The duration of a grant, given the duration of the lease that backs it. */
    public long grantDurationMicros(long leaseMicros) {
        return (long) (leaseMicros * GRANT_FRACTION);
    }

    /** Until when a forwarder may use a grant: counted from when it sent the report that the grant answers. */
    public long grantUsableUntilMicros(long echoedAtMicros, long receivedAtMicros, long grantDurationMicros) {
        return echoedAtMicros + drift.lowerBoundMicros(grantDurationMicros);
    }

    /** Until when a planner assumes that a grant is in use: counted from when it received the report for the grant. */
    public long grantOutstandingUntilMicros(long reportedAtMicros, long grantDurationMicros) {
        return reportedAtMicros + drift.upperBoundMicros(grantDurationMicros);
    }
}
