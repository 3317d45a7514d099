package sedgeyoke.consensus;

import sedgeyoke.lease.ClockDrift;

/**
 * The times that keepers and those who follow them go by, in microseconds. All processes of a tier have the same lease
 * and drift.
 *
 * @param election how long nothing is heard of a leader before another one stands, at the least; twice that at most
 * @param heartbeat how often a leader is heard of
 * @param lease how long a balancer acts on a version without a new word
 * @param drift how far clocks may run fast or slow
 * @param snapshotEvery entries from one snapshot to the next
 */
public record RaftTiming(long election, long heartbeat, long lease, ClockDrift drift, int snapshotEvery) {
    /** Fit for machines of one site: a leader that dies is followed by another one within about two seconds. */
    public static RaftTiming usual(long lease, ClockDrift drift) {
        return new RaftTiming(800_000, 100_000, lease, drift, 1_000);
    }

    /** Checks that the times fit each other. */
    public RaftTiming {
        if (heartbeat <= 0 || election < 3 * heartbeat || lease < election || snapshotEvery < 1) {
            throw new IllegalArgumentException("heartbeat, election and lease must each be clearly longer: " + heartbeat
                    + ", " + election + ", " + lease);
        }
    }

    /** A vote for a candidate counts no longer than that after it stood. */
    long candidacy() {
        return election;
    }

    /**
     * How long two balancers may act on rules of which one breaks the other, at the most: the lease of one that holds
     * the older version and hears nothing more. Such rules are only those that have no stricter form.
     */
    public long contradictionBound() {
        return drift.longer(lease);
    }

    /** How long it takes at most until a committed version is in force everywhere, if a leader stays. */
    public long holdsWithin() {
        return 2 * drift.longer(lease) + 4 * heartbeat;
    }
}
