package sedgeyoke.consensus;

/** Applies committed entries to the state machine, and notifies the components that wait for them. */
final class EntryApplier {
    private final ReplicaState state;
    private final Outbox outbox;
    private final ClientRequests requests;
    private final MembershipChange membershipChange;

    EntryApplier(ReplicaState state, Outbox outbox, ClientRequests requests, MembershipChange membershipChange) {
        this.state = state;
        this.outbox = outbox;
        this.requests = requests;
        this.membershipChange = membershipChange;
    }

    /** Applies all entries up to the commit index. */
    void applyCommitted() {
        boolean configChanged = false;
        while (state.lastApplied < state.commitIndex) {
            state.lastApplied++;
            LogEntry entry = state.log.get(state.lastApplied);
            RequestResult result = state.stateMachine.apply(entry.command());
            configChanged |= entry.command() instanceof Command.Write || entry.command() instanceof Command.Activate;
            requests.applied(entry, result);
            if (entry.command() instanceof Command.ChangeMembership && state.isLeader()) {
                membershipChange.committed();
            }
        }
        if (configChanged) {
            outbox.add(new Action.ConfigChanged(state.stateMachine.active(), state.stateMachine.pending()));
        }
    }
}
