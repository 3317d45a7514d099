package sedgeyoke.consensus;

import java.util.List;

/** What a keeper wants done, in order. */
public sealed interface Action {
    /** Send a message; it may get lost. */
    record Send(String to, RaftMessage message) implements Action {}

    /**
     * Make all of this last, in this order, and say so with {@link Event.Persisted}; several may be under way.
     *
     * @param token counts up
     * @param hardState what is to replace what was kept of terms and votes, or null
     * @param snapshot to be kept, or null
     * @param restartLogAfter the entry behind which the log begins anew, with the entries as all that it has; -1 if it goes on
     * @param truncateAfter entries behind this one go first; -1 if none do
     * @param entries to be appended
     */
    record Persist(
            long token,
            HardState hardState,
            Snapshot snapshot,
            long restartLogAfter,
            long truncateAfter,
            List<LogEntry> entries)
            implements Action {}

    /** Answer whoever asked. */
    record Respond(long token, RequestResult result) implements Action {}

    /** Leases for balancers that asked here. */
    record SendLease(LeaseResponse response) implements Action {}

    /** The registry has changed: balancers that follow here are to hear of it. */
    record ConfigChanged(ConfigVersion active, ConfigVersion pending) implements Action {}

    /** A line for the log. */
    record Log(String line) implements Action {}
}
