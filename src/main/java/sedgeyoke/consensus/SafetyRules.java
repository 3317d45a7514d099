package sedgeyoke.consensus;

import java.util.List;

/**
 * The rules that safety depends on, each in one method. The safety argument in docs/design/agreement.md is based on
 * them, and tests replace each by a faulty one to show that they detect the fault. Times are microseconds of the
 * caller's clock.
 */
public class SafetyRules {
    private final RaftTiming timing;

    /** Creates the rules for these durations. */
    public SafetyRules(RaftTiming timing) {
        this.timing = timing;
    }

    /** The durations that these rules use. */
    public final RaftTiming timing() {
        return timing;
    }

    /** The size of the smallest quorum: any two sets of that many voters overlap. */
    int majority(int voters) {
        return voters / 2 + 1;
    }

    /** Whether a candidate's log is at least as up to date as the voter's own (Raft thesis, section 3.6.1). */
    boolean isLogUpToDate(long lastIndex, long lastTerm, long ownIndex, long ownTerm) {
        return lastTerm > ownTerm || (lastTerm == ownTerm && lastIndex >= ownIndex);
    }

    /** Whether a vote may be granted: at most one in each term (section 3.4). {@code votedFor} is empty before that. */
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

    /** Whether a replica counts towards a quorum: not while it may have lost something that it acknowledged. */
    boolean countsTowardsQuorum(boolean recovered) {
        return recovered;
    }

    /** Whether an acknowledgement is valid: entries that an earlier incarnation acknowledged may be lost. */
    boolean isSameIncarnation(long knownIncarnation, long claimedIncarnation) {
        return knownIncarnation == claimedIncarnation;
    }

    /** Whether a candidate may still count votes. The limit bounds {@link #recoveryWaitMicros}. */
    boolean votesAreValid(long nowMicros, long electionStartedAtMicros) {
        return nowMicros <= electionStartedAtMicros + timing.voteCountingMicros();
    }

    /** How long a replica that may have forgotten a vote waits, until no candidate counts it any more. */
    long recoveryWaitMicros() {
        return timing.drift().upperBoundMicros(timing.drift().upperBoundMicros(2 * timing.voteCountingMicros()));
    }

    /** The vote to record for a replica that cannot know which candidate it voted for in its term. */
    String voteAfterRecovery() {
        return HardState.UNKNOWN_VOTE;
    }

    /** The index up to which a recovering replica has to match the leader's log, given the last index in its reply. */
    long recoveryTarget(long leaderLastIndex) {
        return leaderLastIndex;
    }

    /** Whether a replica's disk is an old copy: it lacks an incarnation, or a term, that another replica knows. */
    boolean isOutdatedReplica(long knownIncarnation, List<Long> incarnations, long lastSeenTerm, long term) {
        return (knownIncarnation != 0 && !incarnations.contains(knownIncarnation)) || term < lastSeenTerm;
    }

    /** Whether a replica is the known one, and not a different one with the same name. */
    boolean isSameStorage(long knownStorageId, long claimedStorageId) {
        return knownStorageId == claimedStorageId;
    }

    /** Whether the membership may change: only once the last change is committed (section 4.1). */
    boolean mayChangeMembership(Membership inLog, Membership committed) {
        return inLog.equals(committed);
    }

    /** Whether this replica still led after a request arrived, as a later heartbeat round shows (section 6.4). */
    boolean isLeadershipConfirmed(long requiredRound, long confirmedRound) {
        return requiredRound <= confirmedRound;
    }

    /** Until when the leader assumes that a balancer holds a lease, given when its request arrived. */
    long leaseHeldUntilMicros(long requestedAtMicros) {
        return requestedAtMicros + timing.drift().upperBoundMicros(timing.leaseMicros());
    }

    /** Until when a new leader assumes that balancers hold leases that earlier leaders granted. */
    long earlierLeasesEndMicros(long leaderSinceMicros) {
        return leaderSinceMicros + timing.drift().upperBoundMicros(timing.leaseMicros());
    }

    /** Whether a balancer whose newest version is {@code heldVersion} may have a lease if {@code version} exists. */
    boolean mayHoldLease(long heldVersion, long version) {
        return heldVersion >= version;
    }

    /** Until when a balancer uses a lease: counted from when the request was sent, not when the response arrived. */
    long leaseUsableUntilMicros(long sentAtMicros, long receivedAtMicros) {
        return sentAtMicros + timing.drift().lowerBoundMicros(timing.leaseMicros());
    }

    /** Whether a response is older than one that the balancer has already applied. */
    boolean isStale(long receivedVersion, long knownVersion) {
        return receivedVersion < knownVersion;
    }

    /** The config that a balancer uses while a version is pending. */
    ConfigDocument duringActivation(ConfigDocument active, ConfigDocument pending) {
        return ConfigSchema.merge(active, pending);
    }

    /** The config that a balancer uses without a lease. */
    ConfigDocument withoutLease(ConfigDocument last) {
        return ConfigSchema.withoutLease(last);
    }

    /** Whether a write is based on the newest version, as it has to be to create a version. */
    boolean isBasedOnNewest(long parentVersion, long newestVersion) {
        return parentVersion == newestVersion;
    }

    /** Whether a write is to be applied, as no earlier one with its request id has a result (null if there is none). */
    boolean isNewRequest(RequestResult previousResult) {
        return previousResult == null;
    }
}
