package sedgeyoke.consensus;

import sedgeyoke.lease.ClockDrift;

/**
 * The time constants of the replicas and of the balancers that act on their config. All processes of a cluster must
 * have the same lease and drift.
 *
 * @param electionTimeoutMicros the least time without contact to a leader after which a replica starts an election;
 *     each replica draws its own between this and twice this
 * @param heartbeatMicros the interval between a leader's heartbeats
 * @param leaseMicros how long a balancer may act on a version without a new lease
 * @param drift how far clocks may run fast or slow
 * @param snapshotInterval how many entries are applied between two snapshots
 */
public record RaftTiming(
        long electionTimeoutMicros, long heartbeatMicros, long leaseMicros, ClockDrift drift, int snapshotInterval) {
    /** Microseconds in a millisecond. */
    public static final long MICROS_PER_MILLI = 1_000;

    private static final long DEFAULT_ELECTION_TIMEOUT_MICROS = 800_000;
    private static final long DEFAULT_HEARTBEAT_MICROS = 100_000;
    private static final int DEFAULT_SNAPSHOT_INTERVAL = 1_000;
    /** How many heartbeats have to be lost at the least before an election starts. */
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
     * Checks the relations between the times.
     *
     * @throws IllegalArgumentException if one of them does not hold
     */
    public RaftTiming {
        if (heartbeatMicros <= 0
                || electionTimeoutMicros < MIN_HEARTBEATS_PER_ELECTION_TIMEOUT * heartbeatMicros
                || leaseMicros < electionTimeoutMicros
                || snapshotInterval < 1) {
            throw new IllegalArgumentException("heartbeat, election timeout and lease must each be clearly longer: "
                    + heartbeatMicros + ", " + electionTimeoutMicros + ", " + leaseMicros);
        }
    }

    /** How long a candidate counts votes after it started its election. */
    long candidacyMicros() {
        return electionTimeoutMicros;
    }

    /**
     * How long two balancers may at most act on versions of which one contradicts the other: the lease of a balancer
     * that has the older version and has lost contact. Only fields without a stricter value can contradict each other
     * so.
     */
    public long contradictionBoundMicros() {
        return drift.upperBoundMicros(leaseMicros);
    }

    /**
     * How long it takes at most until a committed version is active at all balancers, if the leader does not change.
     */
    public long activationBoundMicros() {
        return 2 * drift.upperBoundMicros(leaseMicros) + 4 * heartbeatMicros;
    }
}
