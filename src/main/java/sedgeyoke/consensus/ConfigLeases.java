package sedgeyoke.consensus;

import java.util.ArrayList;
import java.util.List;

/**
 * Handles the leases under which balancers use the config. A follower forwards lease requests to the leader. The leader
 * grants leases, and activates the pending version once every balancer that may hold a lease has that version.
 */
final class ConfigLeases {
    private static final int MAX_DEFERRED = 1_000;

    private final ReplicaState state;
    private final Outbox outbox;
    private final LogReplication replication;
    private final LeadershipConfirmation confirmation;

    /** Leases that this replica has granted as the leader; null while it does not lead. */
    private LeaseTable table;
    /** Responses of the leader that wait until this replica has applied the log up to their commit index. */
    private final List<RaftMessage.LeaseResponses> deferred = new ArrayList<>();

    ConfigLeases(ReplicaState state, Outbox outbox, LogReplication replication, LeadershipConfirmation confirmation) {
        this.state = state;
        this.outbox = outbox;
        this.replication = replication;
        this.confirmation = confirmation;
    }

    /** Called when this replica becomes the leader. */
    void start() {
        table = new LeaseTable(state.rules, state.nowMicros);
    }

    /** Called when this replica ceases to be the leader. */
    void stop() {
        table = null;
    }

    /** The number of balancers that may hold a lease, if this replica is the leader; otherwise 0. */
    int holderCount() {
        return table == null ? 0 : table.holderCount(state.nowMicros);
    }

    /** The oldest schema version that a lease holder supports. To be called on the leader only. */
    int oldestSchemaVersion() {
        return table.oldestSchemaVersion(state.nowMicros);
    }

    /** Handles lease requests of balancers that are connected to this replica. */
    void receive(List<LeaseRequest> requests) {
        if (state.isLeader()) {
            long requestedAtMicros = state.nowMicros;
            confirmation.whenConfirmed(() -> send(grant(requests, requestedAtMicros)), () -> {});
        } else if (state.leader != null) {
            outbox.send(state.leader, new RaftMessage.LeaseRequests(state.term, 0, List.copyOf(requests)));
        }
    }

    void handle(String from, RaftMessage.LeaseRequests message) {
        if (!state.isLeader()) {
            return;
        }
        long requestedAtMicros = state.nowMicros;
        confirmation.whenConfirmed(
                () -> outbox.send(
                        from,
                        new RaftMessage.LeaseResponses(
                                state.term,
                                message.number(),
                                state.commitIndex,
                                grant(message.requests(), requestedAtMicros))),
                () -> {});
    }

    void handle(RaftMessage.LeaseResponses message) {
        if (deferred.size() < MAX_DEFERRED) {
            deferred.add(message);
        }
    }

    private List<LeaseResponse> grant(List<LeaseRequest> requests, long requestedAtMicros) {
        if (!replication.hasCommittedInTerm() || state.lastApplied < state.commitIndex) {
            return List.of(); // an earlier leader may have committed a version that is not applied here yet
        }
        return requests.stream()
                .map(request -> table.grant(
                        request, requestedAtMicros, state.stateMachine.active(), state.stateMachine.pending()))
                .toList();
    }

    /** Sends the deferred responses that have become valid. */
    void sendDeferred() {
        deferred.removeIf(message -> {
            boolean valid = message.commitIndex() <= state.lastApplied;
            if (valid) {
                send(message.responses());
            }
            return valid;
        });
    }

    private void send(List<LeaseResponse> responses) {
        responses.forEach(response -> outbox.add(new Action.SendLease(response)));
    }

    /** On the leader: activates the pending version if every balancer that may hold a lease has it. */
    void activatePending() {
        ConfigVersion pending = state.stateMachine.pending();
        if (replication.hasCommittedInTerm()
                && pending != null
                && table.allHoldersHaveVersion(pending.number(), state.nowMicros)
                && !state.log.containsActivation(pending.number(), state.commitIndex)) {
            replication.append(new Command.Activate(pending.number()));
        }
    }
}
