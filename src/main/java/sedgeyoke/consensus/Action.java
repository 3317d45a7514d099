package sedgeyoke.consensus;

import java.util.List;

/** An output of a {@link RaftNode}. Actions must be carried out in the order in which they are returned. */
public sealed interface Action {
    /** Calls the method of {@code handler} for this type of action. */
    void deliver(ActionHandler handler);

    /** Send a message to a replica. The message may be lost. */
    record Send(String to, RaftMessage message) implements Action {
        @Override
        public void deliver(ActionHandler handler) {
            handler.handle(this);
        }
    }

    /**
     * Write these changes to disk, in the order of the components, and then report {@link Event.Persisted}. Several
     * writes may be in progress at a time.
     *
     * @param token increases by one with each write
     * @param hardState replaces the stored hard state; null to leave it unchanged
     * @param snapshot replaces the stored snapshot; null to leave it unchanged
     * @param restartLogAfter if not -1, the whole stored log is removed; {@code entries}, the first of which follows
     *     this index, become the new log
     * @param truncateAfter if not -1, stored entries after this index are removed before {@code entries} are appended
     * @param entries entries to append to the stored log
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

    /** Return a result to the client whose {@link Event.RequestReceived} had this token. */
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
