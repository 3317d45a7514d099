package sedgeyoke.consensus;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides when a replica that has started may vote and count towards a quorum. With an intact disk, it may do so once
 * the replies of a majority, this replica included, show that the disk is not an old copy. The disk may have lost
 * something that the replica acknowledged if part of it is corrupt, if the machine has crashed and writes may have been
 * lost, or if other replicas know an incarnation that is not on the disk. Then the replica first has to learn from the
 * others everything that it may have acknowledged. This follows the recovery protocol of Viewstamped Replication
 * Revisited; docs/design/agreement.md has the safety argument.
 *
 * <p>Before it is recovered, a replica responds to:
 *
 * <ul>
 *   <li>log entries, heartbeats and snapshot chunks: it stores and acknowledges them, and states that it is not
 *       recovered. The leader brings it up to date and treats it as reachable, but does not count it for commits or for
 *       the confirmation of its leadership;
 *   <li>recovery queries of other replicas: it states that it is not recovered, and whether it has certainly lost data.
 *       Its reply can show that the other replica's disk is an old copy. If the other replica may have lost data, the
 *       reply counts only once all other voters have replied;
 *   <li>requests of operators and balancers: it forwards them to the leader like any follower. It also returns its
 *       status, the history and the versions that it knows to be committed. These are correct, though maybe out of
 *       date, as a committed entry never changes.
 * </ul>
 *
 * <p>It does not vote, with one exception: it rejects pre-vote and vote requests, starts no election, and ignores a
 * leader's instruction to start one. It may have forgotten a vote, and a second vote in the same term could elect a
 * second leader. It may also have forgotten a committed entry, and its vote could elect a leader without that entry.
 *
 * <p>This is safe because every decision needs a majority of recovered replicas, any two majorities share a replica,
 * and a recovered replica has forgotten nothing. The exception: a replica may vote once all other voters have replied,
 * if fewer than a majority of all voters have certainly lost data ({@link #mayVote}). A candidate then needs the votes
 * of all voters, so its log is the most complete, and at least one replica that acknowledged a committed entry still
 * has it.
 */
final class ReplicaRecovery {
    /** The low bits of a query id, which count the queries of one incarnation; the other bits are the incarnation. */
    private static final int QUERY_ID_BITS = 16;

    private final SafetyRules rules;
    private final long startedAtMicros;
    /** The latest replies to the current query, by replica. */
    private final Map<String, RaftMessage.RecoveryReply> replies = new HashMap<>();

    private final Set<Long> rememberedIncarnations = new LinkedHashSet<>();
    private RecoveryState recoveryState;
    private String suspectedLoss;
    private boolean dataLost;
    private long queryId;
    private long queriedAtMicros;

    /** The steps of recovery, in order. */
    private enum RecoveryState {
        /** The disk seems intact; waits for the replies of a majority, which may show that it is an old copy. */
        VERIFYING,
        /** Data may be lost; waits until no candidate counts a vote that this replica may have forgotten. */
        WAITING_FOR_OLD_VOTES,
        /** Queries the other replicas for their terms and logs. */
        QUERYING,
        /** Has entered the highest term of the others; waits until its log matches that of the leader. */
        CATCHING_UP,
        /** May vote, and counts towards quorums. */
        RECOVERED
    }

    /**
     * Starts recovery.
     *
     * @param incarnation the current incarnation of this replica
     * @param suspectedLoss why the disk may have lost data; null if it seems intact
     * @param dataLost whether the disk has certainly lost data
     * @param nowMicros the time of the replica's monotonic clock
     */
    ReplicaRecovery(SafetyRules rules, long incarnation, String suspectedLoss, boolean dataLost, long nowMicros) {
        this.rules = rules;
        this.queryId = incarnation << QUERY_ID_BITS;
        this.startedAtMicros = nowMicros;
        this.suspectedLoss = suspectedLoss;
        this.dataLost = dataLost;
        this.recoveryState = suspectedLoss == null ? RecoveryState.VERIFYING : RecoveryState.WAITING_FOR_OLD_VOTES;
        makeQueryDue(nowMicros);
    }

    /** Whether this replica has all that it ever acknowledged. */
    boolean isRecovered() {
        return recoveryState == RecoveryState.RECOVERED;
    }

    /** Why something that this replica acknowledged may be missing; null if there is no reason to suspect that. */
    String suspectedLoss() {
        return suspectedLoss;
    }

    /** Whether something that this replica acknowledged is certainly missing. */
    boolean isDataLost() {
        return dataLost;
    }

    /** Whether this replica may vote: it is recovered, or all voters together can decide. */
    boolean mayVote(Membership membership, String self) {
        return isRecovered() || canAllVotersDecide(membership, self);
    }

    /**
     * Whether all other voters have replied and fewer than a majority of all voters have certainly lost data. Then the
     * most complete log has every committed entry, even if too few voters are recovered to form a quorum.
     */
    private boolean canAllVotersDecide(Membership membership, String self) {
        int voters = membership.voters().size();
        if (!acceptsReplies() || !membership.voters().containsKey(self)) {
            return false;
        }
        List<RaftMessage.RecoveryReply> others = voterReplies(membership, self);
        long votersWithLoss =
                others.stream().filter(RaftMessage.RecoveryReply::dataLost).count() + (dataLost ? 1 : 0);
        return others.size() == voters - 1 && votersWithLoss < rules.majority(voters);
    }

    private boolean acceptsReplies() {
        return recoveryState == RecoveryState.QUERYING || recoveryState == RecoveryState.CATCHING_UP;
    }

    private List<RaftMessage.RecoveryReply> voterReplies(Membership membership, String self) {
        return replies.entrySet().stream()
                .filter(reply ->
                        !reply.getKey().equals(self) && membership.voters().containsKey(reply.getKey()))
                .map(Map.Entry::getValue)
                .toList();
    }

    /** Returns whether a query is due. If so, the caller has to send it; the next one is due later. */
    boolean takeDueQuery(long nowMicros) {
        if (recoveryState == RecoveryState.WAITING_FOR_OLD_VOTES
                && nowMicros - startedAtMicros >= rules.recoveryWaitMicros()) {
            recoveryState = RecoveryState.QUERYING;
            startNewQuery(); // earlier replies do not cover votes that could still be counted then
            makeQueryDue(nowMicros);
        }
        boolean due = nowMicros - queriedAtMicros >= 2 * rules.timing().heartbeatMicros();
        if (due) {
            queriedAtMicros = nowMicros;
        }
        return due;
    }

    private void startNewQuery() {
        queryId++;
        replies.clear();
    }

    private void makeQueryDue(long nowMicros) {
        queriedAtMicros = nowMicros - rules.timing().electionTimeoutMicros();
    }

    /** The id of the query whose replies are awaited. */
    long queryId() {
        return queryId;
    }

    /** Handles a reply; returns whether it is the first to show that the disk is an old copy. */
    boolean handle(String from, RaftMessage.RecoveryReply reply) {
        if (reply.queryId() != queryId) {
            return false;
        }
        replies.put(from, reply);
        rememberedIncarnations.add(reply.knownIncarnation());
        if (reply.outdated() && recoveryState == RecoveryState.VERIFYING) {
            recoveryState = RecoveryState.WAITING_FOR_OLD_VOTES;
            suspectedLoss = from + " knows a later incarnation than this disk does: the disk is an old copy";
            startNewQuery();
            return true;
        }
        return false;
    }

    /** The incarnations of this replica that the other replicas know. */
    Set<Long> rememberedIncarnations() {
        return rememberedIncarnations;
    }

    /** The highest term in the replies. */
    long highestTerm() {
        return replies.values().stream()
                .mapToLong(RaftMessage.RecoveryReply::term)
                .max()
                .orElse(0);
    }

    /** The index up to which the log has to match that of this term's leader; -1 until that leader has replied. */
    long requiredMatchIndex(String leader, long term) {
        RaftMessage.RecoveryReply reply = leader == null ? null : replies.get(leader);
        return reply == null || !reply.isLeader() || reply.term() != term ? -1 : reply.lastIndex();
    }

    /** Starts catching up if enough replicas have replied; returns whether this call has started it. */
    boolean startCatchingUp(Membership membership, String self) {
        if (recoveryState != RecoveryState.QUERYING || !hasEnoughReplies(membership, self)) {
            return false;
        }
        recoveryState = RecoveryState.CATCHING_UP;
        return true;
    }

    /** Whether the replies cover all committed entries and all votes that this replica may have granted. */
    private boolean hasEnoughReplies(Membership membership, String self) {
        long recovered = voterReplies(membership, self).stream()
                .filter(RaftMessage.RecoveryReply::recovered)
                .count();
        return recovered >= rules.majority(membership.voters().size()) || canAllVotersDecide(membership, self);
    }

    /**
     * Completes recovery if its conditions hold; returns whether this call has completed it.
     *
     * @param leader the leader of {@code term}; null if it is not known
     * @param leaderMatchIndex the index up to which the log matches that of the leader; -1 if it is not known
     */
    boolean complete(Membership membership, String self, String leader, long term, long leaderMatchIndex) {
        if (isRecovered() || !mayComplete(membership, self, leader, term, leaderMatchIndex)) {
            return false;
        }
        recoveryState = RecoveryState.RECOVERED;
        suspectedLoss = null;
        dataLost = false;
        return true;
    }

    private boolean mayComplete(Membership membership, String self, String leader, long term, long leaderMatchIndex) {
        if (recoveryState == RecoveryState.VERIFYING) {
            int confirmations = voterReplies(membership, self).size();
            return !membership.voters().containsKey(self)
                    || confirmations >= rules.majority(membership.voters().size()) - 1;
        }
        if (self.equals(leader)) {
            return true; // elected by all voters, so no log is more complete
        }
        if (recoveryState != RecoveryState.CATCHING_UP || !hasEnoughReplies(membership, self)) {
            return false;
        }
        long required = requiredMatchIndex(leader, term);
        return required >= 0 && leaderMatchIndex >= rules.recoveryTarget(required);
    }
}
