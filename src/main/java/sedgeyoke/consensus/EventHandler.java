package sedgeyoke.consensus;

/** Handles the events of a {@link RaftNode}: one method for each type of {@link Event}. */
public interface EventHandler {
    /** Handles the passing of time. */
    void handle(Event.Tick tick);

    /** Handles a message of another replica. */
    void handle(Event.Received received);

    /** Handles the completion of a write to disk. */
    void handle(Event.Persisted persisted);

    /** Handles a client's request. */
    void handle(Event.RequestReceived received);

    /** Handles lease requests of balancers. */
    void handle(Event.LeasesRequested requested);

    /** Handles the request to transfer the leadership. */
    void handle(Event.TransferLeadership transfer);
}
