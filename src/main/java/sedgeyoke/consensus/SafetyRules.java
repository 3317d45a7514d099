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
    boolean upToDate(long lastIndex, long lastTerm, long ownIndex, long ownTerm) {
        return lastTerm > ownTerm || lastTerm == ownTerm && lastIndex >= ownIndex;
    }

    /** One vote a term. */
    boolean mayVoteFor(String candidate, String votedFor) {
        return votedFor.isEmpty() || votedFor.equals(candidate);
    }

    /** What is said to be on disk is: others build on it. */
    boolean promisesWaitForDisk() {
        return true;
    }

    /** Entries of earlier terms are committed by one of this term alone (Raft dissertation, section 3.6.2). */
    boolean mayCommit(long entryTerm, long term) {
        return entryTerm == term;
    }

    /** A keeper that may have lost what it promised proves nothing by what it says now. */
    boolean counts(boolean sound) {
        return sound;
    }

    /** What an earlier run of a keeper has said may be gone with it. */
    boolean sameRun(long known, long said) {
        return known == said;
    }

    /** A candidate counts votes for so long only: whoever forgets a vote waits until none is counted any more. */
    boolean votesStillCount(long now, long stoodAt) {
        return now <= stoodAt + timing.candidacy();
    }

    /** How long a keeper in doubt waits before it asks the others for their terms. */
    long oldCandidaciesEnd() {
        return timing.drift().longer(timing.drift().longer(2 * timing.candidacy()));
    }

    /** The vote of a keeper that cannot know whom it has voted for in a term. */
    String voteAfterDoubt() {
        return HardState.UNKNOWN;
    }

    /** Up to where a keeper in doubt has to match the leader's log, given how long that was when it was asked. */
    long targetAfterDoubt(long leadersLast) {
        return leadersLast;
    }

    /** Whether a keeper comes with a folder that does not remember a run of its, or a term that it has spoken in. */
    boolean isOfThePast(long knownRun, java.util.List<Long> runs, long heardTerm, long term) {
        return knownRun != 0 && !runs.contains(knownRun) || term < heardTerm;
    }

    /** Whether a keeper is the one that was known, or another one with its name. */
    boolean sameFolder(long known, long said) {
        return known == said;
    }

    /** Neighbouring sets of keepers have a majority in common only if one changes at a time. */
    boolean mayChange(Membership inLog, Membership committed) {
        return inLog.equals(committed);
    }

    /** Whether this keeper still led after something had been asked: shown by a round that began later. */
    boolean confirmed(long roundNeeded, long roundShown) {
        return roundNeeded <= roundShown;
    }

    /** A leader takes a lease for held until then; the ask was sent before it came. */
    long heldUntil(long askedAt) {
        return askedAt + timing.drift().longer(timing.lease());
    }

    /** A new leader takes it until then that balancers hold leases of its predecessors. */
    long predecessorsLeasesEnd(long leadsSince) {
        return leadsSince + timing.drift().longer(timing.lease());
    }

    /** Whether a holder may go on while a version is to take effect, or is in force. */
    boolean holdsEnough(long holds, long version) {
        return holds >= version;
    }

    /** A balancer acts under a lease until then: it counts from when it asked, not from when the answer came. */
    long mayActUntil(long stamp, long heardAt) {
        return stamp + timing.drift().shorter(timing.lease());
    }

    /** Whether a word is older than one that was acted on: from a keeper of the past. */
    boolean isOld(long active, long known) {
        return active < known;
    }

    /** By what a balancer acts while a version is to take effect. */
    ConfigDocument between(ConfigDocument active, ConfigDocument pending) {
        return ConfigSchema.meet(active, pending);
    }

    /** By what a balancer acts without a lease. */
    ConfigDocument alone(ConfigDocument last) {
        return ConfigSchema.alone(last);
    }

    /** Whether a write that was made from a version may follow the newest. */
    boolean follows(long parent, long newest) {
        return parent == newest;
    }

    /** Whether a request that is known already is done again. */
    boolean again(RequestResult before) {
        return before == null;
    }
}
