package sedgeyoke.consensus;

import java.util.List;

/**
 * The rules that safety depends on, each in one method. docs/design/agreement.md bases its argument on them, and tests
 * replace each by a faulty one to show that the fault is detected. Times are microseconds of the clock of the caller.
 */
public class SafetyRules {
    private final RaftTiming timing;

    /** The rules for these times. */
    public SafetyRules(RaftTiming timing) {
        this.timing = timing;
    }

    /** The times of these rules. */
    public final RaftTiming timing() {
        return timing;
    }

    /** The size of the smallest quorum: any two sets of that many voters overlap. */
    int majority(int voters) {
        return voters / 2 + 1;
    }

    /**
     * Whether a log is at least as up to date as the own one, so that its replica may lead (Raft thesis, section
     * 3.6.1).
     */
    boolean isLogUpToDate(long lastIndex, long lastTerm, long ownIndex, long ownTerm) {
        return lastTerm > ownTerm || (lastTerm == ownTerm && lastIndex >= ownIndex);
    }

    /**
     * Whether a vote may be granted: at most one in each term (section 3.4). {@code votedFor} is empty if there is
     * none.
     */
    boolean mayVoteFor(String candidate, String votedFor) {
        return votedFor.isEmpty() || votedFor.equals(candidate);
    }

    /** Whether responses wait until what they acknowledge is on disk (section 3.8). */
    boolean responsesWaitForPersistence() {
        return true;
    }

    /** Whether an entry may be committed by counting replicas: only one of the current term (section 3.6.2). */
    boolean mayCommitEntry(long entryTerm, long term) {
        return entryTerm == term;
    }

    /** Whether a replica counts towards a quorum: not while it may have lost what it acknowledged. */
    boolean countsTowardsQuorum(boolean recovered) {
        return recovered;
    }

    /** Whether an acknowledgement still holds: what an earlier incarnation acknowledged may be lost. */
    boolean isSameIncarnation(long knownIncarnation, long claimedIncarnation) {
        return knownIncarnation == claimedIncarnation;
    }

    /** Whether a candidate may still count votes. The bound lets a replica that may have lost a vote wait that long. */
    boolean votesAreValid(long nowMicros, long electionStartedAtMicros) {
        return nowMicros <= electionStartedAtMicros + timing.candidacyMicros();
    }

    /** How long a replica that may have lost a vote waits before it queries the others for their terms. */
    long recoveryWaitMicros() {
        return timing.drift().upperBoundMicros(timing.drift().upperBoundMicros(2 * timing.candidacyMicros()));
    }

    /** The vote of a replica that cannot know whom it voted for in its term. */
    String voteAfterRecovery() {
        return HardState.UNKNOWN_VOTE;
    }

    /** Up to where a recovering replica has to match the leader's log, given how long that was when it was queried. */
    long recoveryTarget(long leaderLastIndex) {
        return leaderLastIndex;
    }

    /** Whether a replica has an old copy of its disk: without an incarnation, or a term, that others know of. */
    boolean isOutdatedReplica(long knownIncarnation, List<Long> incarnations, long lastSeenTerm, long term) {
        return (knownIncarnation != 0 && !incarnations.contains(knownIncarnation)) || term < lastSeenTerm;
    }

    /** Whether a replica is the known one, and not another one with its name. */
    boolean isSameStorage(long knownStorageId, long claimedStorageId) {
        return knownStorageId == claimedStorageId;
    }

    /** Whether the membership may change: only once the last change is committed (section 4.1). */
    boolean mayChangeMembership(Membership inLog, Membership committed) {
        return inLog.equals(committed);
    }

    /**
     * Whether this replica was still leader after a request arrived: a later heartbeat round shows it (section 6.4).
     */
    boolean isLeadershipConfirmed(long requiredRound, long confirmedRound) {
        return requiredRound <= confirmedRound;
    }

    /** Until when the leader assumes that a lease is held, given when the request arrived. */
    long leaseHeldUntilMicros(long requestedAtMicros) {
        return requestedAtMicros + timing.drift().upperBoundMicros(timing.leaseMicros());
    }

    /** Until when a new leader assumes that leases of earlier leaders are held. */
    long earlierLeasesEndMicros(long leaderSinceMicros) {
        return leaderSinceMicros + timing.drift().upperBoundMicros(timing.leaseMicros());
    }

    /** Whether a balancer may hold a lease, given the newest version that it has and the newest that there is. */
    boolean coversVersion(long heldVersion, long version) {
        return heldVersion >= version;
    }

    /** Until when a balancer uses a lease: counted from when it sent the request, not from the response. */
    long leaseUsableUntilMicros(long sentAtMicros, long receivedAtMicros) {
        return sentAtMicros + timing.drift().lowerBoundMicros(timing.leaseMicros());
    }

    /** Whether a response is older than one that the balancer has acted on. */
    boolean isStale(long receivedVersion, long knownVersion) {
        return receivedVersion < knownVersion;
    }

    /** The config that a balancer acts on while a version is pending. */
    ConfigDocument duringActivation(ConfigDocument active, ConfigDocument pending) {
        return ConfigSchema.merge(active, pending);
    }

    /** The config that a balancer acts on without a lease. */
    ConfigDocument withoutLease(ConfigDocument last) {
        return ConfigSchema.withoutLease(last);
    }

    /** Whether a version may be created from {@code parentVersion}. */
    boolean mayFollow(long parentVersion, long newestVersion) {
        return parentVersion == newestVersion;
    }

    /** Whether a request is applied, given its earlier result; null if there is none. */
    boolean appliesRequest(RequestResult previousResult) {
        return previousResult == null;
    }
}
