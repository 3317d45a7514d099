package sedgeyoke.consensus;

import java.util.ArrayList;
import java.util.List;

/**
 * Confirms that this replica is still the leader, by a heartbeat round that starts after the question came up. Reads
 * and leases depend on it; it is the read index of the Raft thesis, section 6.4.
 */
final class LeadershipConfirmation {
    private final ReplicaState state;
    private final LogReplication replication;
    private final List<Pending> pending = new ArrayList<>();
    private long confirmedRound;

    /** What waits until {@code round} is confirmed. */
    private record Pending(long round, Runnable onConfirmed, Runnable onLost) {}

    LeadershipConfirmation(ReplicaState state, LogReplication replication) {
        this.state = state;
        this.replication = replication;
    }

    /** This replica has become the leader. */
    void start() {
        confirmedRound = 0;
    }

    /**
     * Runs {@code onConfirmed} once a later round shows that this replica leads, or {@code onLost} if it steps down.
     */
    void whenConfirmed(Runnable onConfirmed, Runnable onLost) {
        pending.add(new Pending(replication.round() + 1, onConfirmed, onLost));
    }

    int pendingCount() {
        return pending.size();
    }

    /** This replica has ceased to be the leader. */
    void stop() {
        pending.forEach(waiting -> waiting.onLost().run());
        pending.clear();
    }

    /** Takes note of the rounds that the others have echoed, and starts a round if something waits for one. */
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

    /** Whether something waits for a round that has not started, and none is in progress. */
    private boolean needsRound() {
        return confirmedRound >= replication.round()
                && pending.stream().anyMatch(waiting -> waiting.round() > replication.round());
    }

    /** The latest and the confirmed round, for {@link RaftNode#describe()}. */
    String describe() {
        return replication.round() + "/" + confirmedRound;
    }
}
