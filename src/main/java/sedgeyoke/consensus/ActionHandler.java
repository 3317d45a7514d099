package sedgeyoke.consensus;

/** Carries out the actions of a {@link RaftNode}: one method for each type of {@link Action}. */
public interface ActionHandler {
    /** Sends a message to a replica. */
    void handle(Action.Send send);

    /** Writes to disk. */
    void handle(Action.Persist persist);

    /** Returns a result to a client. */
    void handle(Action.Respond respond);

    /** Sends a lease response to a balancer. */
    void handle(Action.SendLease sendLease);

    /** Notifies the connected balancers of a new config version. */
    void handle(Action.ConfigChanged changed);

    /** Writes a line to the log. */
    void handle(Action.Log log);
}
