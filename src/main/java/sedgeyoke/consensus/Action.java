package sedgeyoke.consensus;

import java.util.List;

/** An output of a {@link RaftNode}. Actions are to be carried out in the order in which they are returned. */
public sealed interface Action {
    /** Calls the method of {@code handler} for this type of action. */
    void deliver(ActionHandler handler);

    /** Send a message to a replica; it may get lost. */
    record Send(String to, RaftMessage message) implements Action {
        @Override
        public void deliver(ActionHandler handler) {
            handler.handle(this);
        }
    }

    /**
     * Write all of this to disk, in the order of the components, and report it with {@link Event.Persisted}. Several
     * may be in progress at a time.
     *
     * @param token increases by one with each
     * @param hardState replaces the stored hard state; null to keep that
     * @param snapshot to be stored; null if there is none
     * @param restartLogAfter the index after which the stored log starts anew, with {@code entries} as its only
     *     contents; -1 to keep the log
     * @param truncateAfter the index after which stored entries are removed first; -1 to remove none
     * @param entries to be appended to the stored log
     */
    record Persist(
            long token,
            HardState hardState,
            Snapshot snapshot,
            long restartLogAfter,
            long truncateAfter,
            List<LogEntry> entries)
            implements Action {
        @Override
        public void deliver(ActionHandler handler) {
            handler.handle(this);
        }
    }

    /** Return the result of the request that came with this token. */
    record Respond(long token, RequestResult result) implements Action {
        @Override
        public void deliver(ActionHandler handler) {
            handler.handle(this);
        }
    }

    /** Send a lease response to a balancer that is connected to this replica. */
    record SendLease(LeaseResponse response) implements Action {
        @Override
        public void deliver(ActionHandler handler) {
            handler.handle(this);
        }
    }

    /** The active or the pending version has changed: notify the balancers that are connected to this replica. */
    record ConfigChanged(ConfigVersion active, ConfigVersion pending) implements Action {
        @Override
        public void deliver(ActionHandler handler) {
            handler.handle(this);
        }
    }

    /** Write a line to the log. */
    record Log(String line) implements Action {
        @Override
        public void deliver(ActionHandler handler) {
            handler.handle(this);
        }
    }
}
