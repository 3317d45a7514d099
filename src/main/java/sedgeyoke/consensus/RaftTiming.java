package sedgeyoke.consensus;

import sedgeyoke.lease.ClockDrift;

/**
 * The durations that replicas, and balancers that use their config, work with. All processes of a cluster must have the
 * same lease and drift.
 *
 * @param electionTimeoutMicros the minimum time without contact to a leader after which a replica starts an election;
 *     the actual timeout is random, between this and twice this
 * @param heartbeatMicros the interval between a leader's heartbeats
 * @param leaseMicros how long a lease lasts, under which a balancer may use a version
 * @param drift the largest drift of any process's clock
 * @param snapshotInterval how many entries are applied between two snapshots
 */
public record RaftTiming(
        long electionTimeoutMicros, long heartbeatMicros, long leaseMicros, ClockDrift drift, int snapshotInterval) {
    /** Microseconds in a millisecond. */
    public static final long MICROS_PER_MILLI = 1_000;

    private static final long DEFAULT_ELECTION_TIMEOUT_MICROS = 800_000;
    private static final long DEFAULT_HEARTBEAT_MICROS = 100_000;
    private static final int DEFAULT_SNAPSHOT_INTERVAL = 1_000;
    /** The minimum number of heartbeats per election timeout, so that a few lost ones start no election. */
    private static final int MIN_HEARTBEATS_PER_ELECTION_TIMEOUT = 3;

    /** The defaults for replicas at one site: a failed leader is replaced within about two seconds. */
    public static RaftTiming defaults(long leaseMicros, ClockDrift drift) {
        return new RaftTiming(
                DEFAULT_ELECTION_TIMEOUT_MICROS,
                DEFAULT_HEARTBEAT_MICROS,
                leaseMicros,
                drift,
                DEFAULT_SNAPSHOT_INTERVAL);
    }

    /**
     * Checks that the values are consistent.
     *
     * @throws IllegalArgumentException if they are not
     */
    public RaftTiming {
        if (heartbeatMicros <= 0
                || electionTimeoutMicros < MIN_HEARTBEATS_PER_ELECTION_TIMEOUT * heartbeatMicros
                || leaseMicros < electionTimeoutMicros
                || snapshotInterval < 1) {
            throw new IllegalArgumentException("invalid timing: the heartbeat interval must be positive, the"
                    + " election timeout several times that, the lease at least the election timeout, and the snapshot"
                    + " interval at least 1; in microseconds: heartbeat " + heartbeatMicros + ", election timeout "
                    + electionTimeoutMicros + ", lease " + leaseMicros);
        }
    }

    /** How long a candidate counts votes after it has started its election. */
    long voteCountingMicros() {
        return electionTimeoutMicros;
    }

    /**
     * The longest time for which two balancers may use versions that contradict each other: one that has lost contact
     * uses the older version until its lease expires. Only in {@link ConfigField.MergeRule#OLDER} fields can they
     * contradict each other like this.
     */
    public long contradictionBoundMicros() {
        return drift.upperBoundMicros(leaseMicros);
    }

    /** The longest time until a committed version is active on all balancers, if the leader does not change. */
    public long activationBoundMicros() {
        return 2 * drift.upperBoundMicros(leaseMicros) + 4 * heartbeatMicros;
    }
}
