package sedgeyoke.consensus;

import java.util.ArrayList;
import java.util.List;

/**
 * Leases by which balancers act on a config version: a follower forwards their requests, the leader grants them and
 * activates a pending version once no lease covers only an older one.
 */
final class ConfigLeases {
    private static final int MAX_DEFERRED = 1_000;

    private final ReplicaState state;
    private final Outbox outbox;
    private final LogReplication replication;
    private final LeadershipConfirmation confirmation;

    /** Leases that this replica has granted as the leader; null while it does not lead. */
    private LeaseTable table;
    /** Responses of the leader that are valid once this replica has applied as much as the leader had. */
    private final List<RaftMessage.LeaseResponses> deferred = new ArrayList<>();

    ConfigLeases(ReplicaState state, Outbox outbox, LogReplication replication, LeadershipConfirmation confirmation) {
        this.state = state;
        this.outbox = outbox;
        this.replication = replication;
        this.confirmation = confirmation;
    }

    /** This replica has become the leader. */
    void start() {
        table = new LeaseTable(state.rules, state.nowMicros);
    }

    /** This replica has ceased to be the leader. */
    void stop() {
        table = null;
    }

    /** How many balancers hold a lease as far as this replica, as the leader, knows; 0 at other replicas. */
    int holderCount() {
        return table == null ? 0 : table.holderCount(state.nowMicros);
    }

    /** The oldest schema version that a lease holder knows. Only the leader can tell. */
    int oldestSchemaVersion() {
        return table.oldestSchemaVersion(state.nowMicros);
    }

    /** Balancers that are connected to this replica request leases. */
    void request(List<LeaseRequest> requests) {
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

    /** As the leader: activates the pending version if every lease covers it. */
    void activatePending() {
        ConfigVersion pending = state.stateMachine.pending();
        if (replication.hasCommittedInTerm()
                && pending != null
                && table.allHoldersCover(pending.number(), state.nowMicros)
                && !state.log.containsActivation(pending.number(), state.commitIndex)) {
            replication.append(new Command.Activate(pending.number()));
        }
    }
}
