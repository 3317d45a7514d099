package sedgeyoke.consensus;

import java.util.ArrayList;
import java.util.List;

/**
 * Confirms that this replica is still the leader, by a heartbeat round that starts after the confirmation was
 * requested. Reads and leases need it. This is the read-index protocol of the Raft thesis, section 6.4.
 */
final class LeadershipConfirmation {
    private final ReplicaState state;
    private final LogReplication replication;
    private final List<Pending> pending = new ArrayList<>();
    private long confirmedRound;

    /** Callbacks that wait until {@code round} is confirmed or this replica ceases to be the leader. */
    private record Pending(long round, Runnable onConfirmed, Runnable onLost) {}

    LeadershipConfirmation(ReplicaState state, LogReplication replication) {
        this.state = state;
        this.replication = replication;
    }

    /** Called when this replica becomes the leader. */
    void start() {
        confirmedRound = 0;
    }

    /**
     * Runs {@code onConfirmed} once a later round shows that this replica is still the leader, or {@code onLost} if it
     * ceases to be the leader before that.
     */
    void whenConfirmed(Runnable onConfirmed, Runnable onLost) {
        pending.add(new Pending(replication.round() + 1, onConfirmed, onLost));
    }

    int pendingCount() {
        return pending.size();
    }

    /** Called when this replica ceases to be the leader. */
    void stop() {
        pending.forEach(waiting -> waiting.onLost().run());
        pending.clear();
    }

    /** Records up to which round a majority has echoed, and starts a new round if a callback waits for one. */
    void update() {
        long echoed = replication.quorumValue(replication.round(), progress -> progress.confirmedRound);
        confirmedRound = Math.max(confirmedRound, echoed);
        if (needsRound()) {
            replication.startRound();
            if (state.majority() == 1) {
                confirmedRound = replication.round();
            }
        }
        List<Pending> confirmed = pending.stream()
                .filter(waiting -> state.rules.isLeadershipConfirmed(waiting.round(), confirmedRound))
                .toList();
        pending.removeAll(confirmed);
        confirmed.forEach(waiting -> waiting.onConfirmed().run());
    }

    /** Whether a callback waits for a round that has not started, and no round is in progress. */
    private boolean needsRound() {
        return confirmedRound >= replication.round()
                && pending.stream().anyMatch(waiting -> waiting.round() > replication.round());
    }

    /** The latest round and the latest confirmed one; for {@link RaftNode#describe()}. */
    String describe() {
        return replication.round() + "/" + confirmedRound;
    }
}
