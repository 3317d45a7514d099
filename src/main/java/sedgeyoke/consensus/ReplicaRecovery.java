package sedgeyoke.consensus;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides when a replica that has started may vote and count towards a quorum. If its disk is intact, it may once a
 * majority has not contradicted what the disk says. If the disk may have lost something that the replica acknowledged
 * (part of it is corrupt, the machine has crashed and writes may have been lost, or others remember an incarnation
 * that the disk does not), it first has to learn from the others whatever it may have acknowledged. This follows the
 * recovery protocol of Viewstamped Replication Revisited; docs/design/agreement.md has the argument.
 *
 * <p>Until it is recovered, a replica answers:
 *
 * <ul>
 *   <li>entries, heartbeats and snapshot chunks: it stores what they bring and acknowledges it, and says that it is
 *       not recovered. The leader brings it up to date and takes it for reachable, but does not count it for a commit
 *       or for the confirmation of its leadership;
 *   <li>recovery queries of other replicas, and says that it is not recovered, and whether something is certainly lost.
 *       The reply can show that the disk of the other is outdated; where that one may have lost something, it counts
 *       only if all other voters have replied;
 *   <li>requests of operators and balancers, which it forwards to the leader like any follower; its status, the history
 *       and the versions that it knows to be committed. A committed entry never changes, so these are true, if old.
 * </ul>
 *
 * <p>It withholds its vote, with the one exception below: it rejects pre-vote and vote requests, starts no election,
 * and ignores a leader's instruction to start one. It may have forgotten a vote, and a second one in the same term
 * could elect a second leader; it may also have forgotten a committed entry, and its vote could elect a leader without
 * that entry.
 *
 * <p>This is safe, as every decision has a majority of recovered replicas, any two majorities share a replica, and a
 * recovered one has forgotten nothing. The exception is a vote once all other voters have replied and less than a
 * majority has certainly lost something ({@link #mayVote}): a candidate then needs the votes of all, so its log is the
 * most complete, and one of the replicas that acknowledged a committed entry still has it.
 */
final class ReplicaRecovery {
    /** Query ids of one incarnation differ in these low bits, those of different incarnations in the others. */
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
        /** The disk seems intact; waits for a majority to confirm that. */
        VERIFYING,
        /** Something may be lost; waits until no candidate counts a vote that this replica may have forgotten. */
        WAITING_FOR_OLD_VOTES,
        /** Asks the others what they know. */
        QUERYING,
        /** Has taken over the highest term of the others; waits until its log matches that of the leader. */
        CATCHING_UP,
        /** May vote and count. */
        RECOVERED
    }

    /**
     * Starts recovery.
     *
     * @param incarnation of this replica, drawn at its start
     * @param suspectedLoss why the disk may not have all that was written; null if it seems intact
     * @param dataLost whether something is certainly lost
     * @param nowMicros the time by this process's clock
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

    /** Whether nothing that this replica ever acknowledged is missing. */
    boolean isRecovered() {
        return recoveryState == RecoveryState.RECOVERED;
    }

    /** Why something that this replica acknowledged may be missing; null if there is no reason to think so. */
    String suspectedLoss() {
        return suspectedLoss;
    }

    /** Whether something that this replica acknowledged is certainly missing. */
    boolean isDataLost() {
        return dataLost;
    }

    /** Whether this replica may vote: it is recovered, or recovers together with all other voters. */
    boolean mayVote(Membership membership, String self) {
        return isRecovered() || isUnanimous(membership, self);
    }

    /**
     * Whether all other voters have replied and less than a majority of all has certainly lost something. Then the best
     * log of all has all that was ever committed, even if too few are recovered to decide alone.
     */
    private boolean isUnanimous(Membership membership, String self) {
        int voters = membership.voters().size();
        if (!acceptsReplies() || !membership.voters().containsKey(self)) {
            return false;
        }
        List<RaftMessage.RecoveryReply> others = voterReplies(membership, self);
        long lossy = others.stream().filter(RaftMessage.RecoveryReply::dataLost).count() + (dataLost ? 1 : 0);
        return others.size() == voters - 1 && lossy < rules.majority(voters);
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

    /** Returns whether the others have to be queried now, and records that they are. */
    boolean takeDueQuery(long nowMicros) {
        if (recoveryState == RecoveryState.WAITING_FOR_OLD_VOTES
                && nowMicros - startedAtMicros >= rules.recoveryWaitMicros()) {
            recoveryState = RecoveryState.QUERYING;
            startNewQuery(); // earlier replies do not cover votes that were still counted then
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

    /** Handles a reply; returns whether it is the first to show that the disk is an outdated copy. */
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

    /** The incarnations of this replica that the others remember. */
    Set<Long> rememberedIncarnations() {
        return rememberedIncarnations;
    }

    /** The highest term of the others. */
    long highestTerm() {
        return replies.values().stream()
                .mapToLong(RaftMessage.RecoveryReply::term)
                .max()
                .orElse(0);
    }

    /** Up to where the log has to match that of the leader of this term; -1 while that leader has not replied. */
    long requiredMatchIndex(String leader, long term) {
        RaftMessage.RecoveryReply reply = leader == null ? null : replies.get(leader);
        return reply == null || !reply.isLeader() || reply.term() != term ? -1 : reply.lastIndex();
    }

    /** Whether enough is known by now to take over the term of the others. Returns true once only. */
    boolean startCatchingUp(Membership membership, String self) {
        if (recoveryState != RecoveryState.QUERYING || !hasEnoughReplies(membership, self)) {
            return false;
        }
        recoveryState = RecoveryState.CATCHING_UP;
        return true;
    }

    /** Whether the replies cover all that was committed and all votes that this replica may have granted. */
    private boolean hasEnoughReplies(Membership membership, String self) {
        long recovered = voterReplies(membership, self).stream()
                .filter(RaftMessage.RecoveryReply::recovered)
                .count();
        return recovered >= rules.majority(membership.voters().size()) || isUnanimous(membership, self);
    }

    /**
     * Completes recovery if its conditions hold; returns whether they do so for the first time.
     *
     * @param leader of {@code term}; null if it is not known
     * @param leaderMatchIndex up to where the log is that of the leader; -1 if that is not known
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
            return true; // elected by all voters, so no log has more
        }
        if (recoveryState != RecoveryState.CATCHING_UP || !hasEnoughReplies(membership, self)) {
            return false;
        }
        long required = requiredMatchIndex(leader, term);
        return required >= 0 && leaderMatchIndex >= rules.recoveryTarget(required);
    }
}
