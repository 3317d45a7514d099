package sedgeyoke.consensus;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Performs the steps of {@link ReplicaRecovery}: sends recovery queries, and applies the results to the replica. */
final class RecoveryQueries {
    private static final long WARNING_INTERVAL_MICROS = 30_000_000;

    private final ReplicaState state;
    private final Outbox outbox;
    private final PersistenceQueue persistence;
    private final RoleTransitions roles;
    private final ReplicaRecovery recovery;

    /** When this replica last announced its incarnation to the leader. */
    private long announcedAtMicros;
    /** When this replica last logged that it takes part in no decision; 0 if never. */
    private long warnedAtMicros;

    RecoveryQueries(ReplicaState state, Outbox outbox, PersistenceQueue persistence, RoleTransitions roles) {
        this.state = state;
        this.outbox = outbox;
        this.persistence = persistence;
        this.roles = roles;
        this.recovery = state.recovery;
    }

    /** Sends queries that are due. */
    void tick() {
        if (!recovery.isRecovered() && recovery.takeDueQuery(state.nowMicros)) {
            queryAll();
        } else if (state.leader != null && !state.leader.equals(state.name) && isAnnouncementDue()) {
            announcedAtMicros =
                    state.nowMicros; // so that the leader knows the current incarnation, and not an earlier one
            persistence.sendWhenPersisted(state.leader, query());
        }
    }

    private boolean isAnnouncementDue() {
        boolean leaderReplied = recovery.requiredMatchIndex(state.leader, state.term) >= 0;
        long interval = leaderReplied ? state.timing.electionTimeoutMicros() : state.timing.heartbeatMicros();
        return state.nowMicros - announcedAtMicros >= 2 * interval;
    }

    private void queryAll() {
        Set<String> receivers = new TreeSet<>(state.membership.others(state.name));
        if (state.leader != null) {
            receivers.add(state.leader); // the log of this replica may not have the leader as a member yet
        }
        receivers.remove(state.name);
        receivers.forEach(receiver -> persistence.sendWhenPersisted(receiver, query()));
    }

    private RaftMessage.RecoveryQuery query() {
        return new RaftMessage.RecoveryQuery(state.term, List.copyOf(state.incarnations), recovery.queryId());
    }

    void handle(String from, RaftMessage.RecoveryReply reply) {
        if (recovery.handle(from, reply)) {
            outbox.log("recovering: " + recovery.suspectedLoss());
        }
    }

    void handle(String from, RaftMessage.NotAMember notice) {
        if ((!state.isLeader() && isWarningDue()) || warnedAtMicros == 0) {
            recordWarning();
            outbox.log(from + " reports that this replica " + notice.reason()
                    + "; it takes part in no decision until it is added ('config-servers add')");
        }
    }

    /** Logs that this replica takes part in no decision, and what it waits for; at most once in a warning interval. */
    void warnNotRecovered() {
        if (isWarningDue() || warnedAtMicros == 0) {
            recordWarning();
            String reason =
                    recovery.suspectedLoss() == null ? "too few replicas have replied yet" : recovery.suspectedLoss();
            outbox.log("recovering, takes part in no decision: " + reason + "; needs " + state.majority()
                    + " recovered replicas, or all of "
                    + state.membership.voters().keySet());
        }
    }

    private boolean isWarningDue() {
        return state.nowMicros - warnedAtMicros > WARNING_INTERVAL_MICROS;
    }

    private void recordWarning() {
        warnedAtMicros = Math.max(1, state.nowMicros);
    }

    /** Advances recovery as far as the replies and the log allow. */
    void update() {
        if (recovery.startCatchingUp(state.membership, state.name)) {
            roles.becomeFollower(Math.max(state.term, recovery.highestTerm()), null);
            // the lost data may include a vote in any term up to that one, this replica's own term included
            state.votedFor = state.rules.voteAfterRecovery();
            persistence.hardStateChanged();
        }
        boolean lossSuspected = recovery.suspectedLoss() != null;
        if (recovery.complete(state.membership, state.name, state.leader, state.term, state.leaderMatchIndex)) {
            persistence.hardStateChanged();
            if (lossSuspected) {
                state.addIncarnations(recovery.rememberedIncarnations());
                outbox.log("recovered: has all that it may have acknowledged, up to entry " + state.log.lastIndex());
                persistence.restartLogAfter(state.log.baseIndex()); // replaces corrupt entries on disk
            }
        }
    }
}
