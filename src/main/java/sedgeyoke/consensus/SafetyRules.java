package sedgeyoke.consensus;

/**
 * The rules that safety hangs on, each in one place: docs/design/agreement.md argues with them, and tests put a wrong
 * one in the place of each to see that it is found. Times are microseconds of the clock of the side that asks.
 */
public class SafetyRules {
    private final RaftTiming timing;

    /** Rules that go by such times. */
    public SafetyRules(RaftTiming timing) {
        this.timing = timing;
    }

    /** The times that they go by. */
    public final RaftTiming timing() {
        return timing;
    }

    /** So many of a set of voters that any two such parts have one in common. */
    int majority(int voters) {
        return voters / 2 + 1;
    }

    /** Whether a log may lead ours: whoever has ours and a majority's has all that is committed. */
    boolean isLogUpToDate(long lastIndex, long lastTerm, long ownIndex, long ownTerm) {
        return lastTerm > ownTerm || lastTerm == ownTerm && lastIndex >= ownIndex;
    }

    /** One vote a term. */
    boolean mayVoteFor(String candidate, String votedFor) {
        return votedFor.isEmpty() || votedFor.equals(candidate);
    }

    /** What is said to be on disk is: others build on it. */
    boolean responsesWaitForPersistence() {
        return true;
    }

    /** Entries of earlier terms are committed by one of this term alone (Raft dissertation, section 3.6.2). */
    boolean mayCommitEntry(long entryTerm, long term) {
        return entryTerm == term;
    }

    /** A keeper that may have lost what it promised proves nothing by what it says now. */
    boolean countsTowardsQuorum(boolean recovered) {
        return recovered;
    }

    /** What an earlier run of a keeper has said may be gone with it. */
    boolean isSameIncarnation(long knownIncarnation, long claimedIncarnation) {
        return knownIncarnation == claimedIncarnation;
    }

    /** A candidate counts votes for so long only: whoever forgets a vote waits until none is counted any more. */
    boolean votesAreValid(long now, long electionStartedAt) {
        return now <= electionStartedAt + timing.candidacyMicros();
    }

    /** How long a keeper in doubt waits before it asks the others for their terms. */
    long recoveryWaitMicros() {
        return timing.drift().upperBound(timing.drift().upperBound(2 * timing.candidacyMicros()));
    }

    /** The vote of a keeper that cannot know whom it has voted for in a term. */
    String voteAfterRecovery() {
        return HardState.UNKNOWN_VOTE;
    }

    /** Up to where a keeper in doubt has to match the leader's log, given how long that was when it was asked. */
    long recoveryTarget(long leaderLastIndex) {
        return leaderLastIndex;
    }

    /** Whether a keeper comes with a folder that does not remember a run of its, or a term that it has spoken in. */
    boolean isOutdatedReplica(long knownIncarnation, java.util.List<Long> incarnations, long lastSeenTerm, long term) {
        return knownIncarnation != 0 && !incarnations.contains(knownIncarnation) || term < lastSeenTerm;
    }

    /** Whether a keeper is the one that was known, or another one with its name. */
    boolean isSameStorage(long knownStorageId, long claimedStorageId) {
        return knownStorageId == claimedStorageId;
    }

    /** Neighbouring sets of keepers have a majority in common only if one changes at a time. */
    boolean mayChangeMembership(Membership inLog, Membership committed) {
        return inLog.equals(committed);
    }

    /** Whether this keeper still led after something had been asked: shown by a round that began later. */
    boolean isLeadershipConfirmed(long requiredRound, long confirmedRound) {
        return requiredRound <= confirmedRound;
    }

    /** A leader takes a lease for held until then; the ask was sent before it came. */
    long leaseHeldUntil(long requestedAt) {
        return requestedAt + timing.drift().upperBound(timing.leaseMicros());
    }

    /** A new leader takes it until then that balancers hold leases of its predecessors. */
    long earlierLeasesEnd(long leaderSince) {
        return leaderSince + timing.drift().upperBound(timing.leaseMicros());
    }

    /** Whether a holder may go on while a version is to take effect, or is in force. */
    boolean coversVersion(long heldVersion, long version) {
        return heldVersion >= version;
    }

    /** A balancer acts under a lease until then: it counts from when it asked, not from when the answer came. */
    long leaseUsableUntil(long sentAt, long receivedAt) {
        return sentAt + timing.drift().lowerBound(timing.leaseMicros());
    }

    /** Whether a word is older than one that was acted on: from a keeper of the past. */
    boolean isStale(long receivedVersion, long knownVersion) {
        return receivedVersion < knownVersion;
    }

    /** By what a balancer acts while a version is to take effect. */
    ConfigDocument duringActivation(ConfigDocument active, ConfigDocument pending) {
        return ConfigSchema.merge(active, pending);
    }

    /** By what a balancer acts without a lease. */
    ConfigDocument withoutLease(ConfigDocument last) {
        return ConfigSchema.withoutLease(last);
    }

    /** Whether a write that was made from a version may follow the newest. */
    boolean mayFollow(long parentVersion, long newestVersion) {
        return parentVersion == newestVersion;
    }

    /** Whether a request that is known already is done again. */
    boolean appliesRequest(RequestResult previousResult) {
        return previousResult == null;
    }
}
