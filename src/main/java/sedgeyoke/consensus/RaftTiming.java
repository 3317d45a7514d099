package sedgeyoke.consensus;

import sedgeyoke.lease.ClockDrift;

/**
 * The times that keepers and those who follow them go by, in microseconds. All processes of a tier have the same lease
 * and drift.
 *
 * @param electionTimeoutMicros how long nothing is heard of a leader before another one stands, at the least; twice that at most
 * @param heartbeatMicros how often a leader is heard of
 * @param leaseMicros how long a balancer acts on a version without a new word
 * @param drift how far clocks may run fast or slow
 * @param snapshotInterval entries from one snapshot to the next
 */
public record RaftTiming(
        long electionTimeoutMicros, long heartbeatMicros, long leaseMicros, ClockDrift drift, int snapshotInterval) {
    static final long MICROS_PER_MILLI = 1_000;

    /** Fit for machines of one site: a leader that dies is followed by another one within about two seconds. */
    public static RaftTiming defaults(long leaseMicros, ClockDrift drift) {
        return new RaftTiming(800_000, 100_000, leaseMicros, drift, 1_000);
    }

    /** Checks that the times fit each other. */
    public RaftTiming {
        if (heartbeatMicros <= 0
                || electionTimeoutMicros < 3 * heartbeatMicros
                || leaseMicros < electionTimeoutMicros
                || snapshotInterval < 1) {
            throw new IllegalArgumentException("heartbeat, election and lease must each be clearly longer: "
                    + heartbeatMicros + ", " + electionTimeoutMicros + ", " + leaseMicros);
        }
    }

    /** A vote for a candidate counts no longer than that after it stood. */
    long candidacyMicros() {
        return electionTimeoutMicros;
    }

    /**
     * How long two balancers may act on rules of which one breaks the other, at the most: the lease of one that holds
     * the older version and hears nothing more. Such rules are only those that have no stricter form.
     */
    public long contradictionBoundMicros() {
        return drift.upperBound(leaseMicros);
    }

    /** How long it takes at most until a committed version is in force everywhere, if a leader stays. */
    public long activationBoundMicros() {
        return 2 * drift.upperBound(leaseMicros) + 4 * heartbeatMicros;
    }
}
