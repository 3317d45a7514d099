package sedgeyoke.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The state of one replica that the components of {@link RaftNode} share: its term and role, its log and commit index,
 * and what it knows about the other replicas. Times are microseconds of the replica's monotonic clock.
 */
final class ReplicaState {
    /** The value of {@link #leaderMatchIndex} while it is not known. */
    static final long UNKNOWN_INDEX = -1;

    final String name;
    final long storageId;
    final SafetyRules rules;
    final RaftTiming timing;
    final RaftLog log;
    final ConfigStateMachine stateMachine;
    final ReplicaRecovery recovery;
    /** This replica's incarnations, the current one first. */
    final List<Long> incarnations;
    /** Storage id and latest known incarnation of the other replicas. */
    final Map<String, HardState.KnownPeer> knownPeers;

    /** The latest snapshot; null if there is none. */
    Snapshot snapshot;
    /** The latest membership in the log, committed or not (Raft thesis, section 4.1). */
    Membership membership;

    long nowMicros;
    RaftNode.Role role = RaftNode.Role.FOLLOWER;
    long term;
    /** The candidate that this replica voted for in {@link #term}; see {@link HardState#votedFor()}. */
    String votedFor;
    /** The leader of {@link #term}; null while it is not known. */
    String leader;

    long commitIndex;
    long lastApplied;
    long lastLeaderContactAtMicros;
    /** The index up to which the log matches that of the current leader, or {@link #UNKNOWN_INDEX}. */
    long leaderMatchIndex = UNKNOWN_INDEX;

    ReplicaState(
            RaftNode.Identity identity,
            SafetyRules rules,
            RaftNode.StoredState stored,
            Membership initialMembership,
            long nowMicros) {
        this.name = identity.name();
        this.storageId = identity.storageId();
        this.rules = rules;
        this.timing = rules.timing();
        this.nowMicros = nowMicros;
        HardState hardState = stored.hardState();
        this.term = hardState.term();
        this.votedFor = hardState.votedFor();
        this.knownPeers = new HashMap<>(hardState.knownPeers());
        this.incarnations = new ArrayList<>(hardState.incarnations());
        incarnations.add(0, identity.incarnation());
        forgetOldIncarnations();
        this.snapshot = stored.snapshot();
        this.log = new RaftLog(snapshotIndex(), snapshot == null ? 0 : snapshot.lastIncludedTerm(), stored.entries());
        this.stateMachine = snapshot == null
                ? new ConfigStateMachine(initialMembership, rules)
                : new ConfigStateMachine(snapshot.state(), rules);
        this.commitIndex = snapshotIndex();
        this.lastApplied = snapshotIndex();
        this.recovery = new ReplicaRecovery(
                rules, identity.incarnation(), stored.suspectedLoss(), stored.dataLost(), nowMicros);
        this.lastLeaderContactAtMicros = nowMicros - timing.electionTimeoutMicros();
        updateMembership();
    }

    /** The current incarnation of this replica. */
    long incarnation() {
        return incarnations.get(0);
    }

    /** Adds incarnations of this replica that only the other replicas know. */
    void addIncarnations(Iterable<Long> remembered) {
        for (long incarnation : remembered) {
            if (incarnation != 0 && !incarnations.contains(incarnation)) {
                incarnations.add(incarnation);
            }
        }
        forgetOldIncarnations();
    }

    private void forgetOldIncarnations() {
        int kept = Math.min(HardState.MAX_INCARNATIONS, incarnations.size());
        incarnations.subList(kept, incarnations.size()).clear();
    }

    boolean isLeader() {
        return role == RaftNode.Role.LEADER;
    }

    boolean isVoter() {
        return membership.voters().containsKey(name);
    }

    /** The size of the smallest quorum of the voters. */
    int majority() {
        return rules.majority(membership.voters().size());
    }

    /** The names of the other voters. */
    List<String> otherVoters() {
        return membership.voters().keySet().stream()
                .filter(voter -> !voter.equals(name))
                .toList();
    }

    /** Whether this replica may vote and become a leader. */
    boolean mayVote() {
        return recovery.mayVote(membership, name) && isVoter();
    }

    /** Whether a log with this last entry is at least as up to date as this replica's (Raft thesis, section 3.6.1). */
    boolean isUpToDate(long lastIndex, long lastTerm) {
        return rules.isLogUpToDate(lastIndex, lastTerm, log.lastIndex(), log.lastTerm());
    }

    /** Whether this replica has not heard from a leader for at least an election timeout. */
    boolean hasLostLeader() {
        return !isLeader() && nowMicros - lastLeaderContactAtMicros >= timing.electionTimeoutMicros();
    }

    /** The last index that the snapshot covers; 0 without a snapshot. */
    long snapshotIndex() {
        return snapshot == null ? 0 : snapshot.lastIncludedIndex();
    }

    /** Uses the latest membership in the log; if there is none, that of the snapshot, or else the initial one. */
    void updateMembership() {
        Membership inLog = log.lastMembership();
        if (inLog != null) {
            membership = inLog;
        } else {
            membership = snapshot != null ? snapshot.state().membership() : stateMachine.membership();
        }
    }

    /** Creates a result with the number of the newest version. */
    RequestResult result(RequestResult.Kind kind, String detail) {
        return new RequestResult(kind, stateMachine.newest().number(), detail);
    }
}
