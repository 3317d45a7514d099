package sedgeyoke.consensus;

/** Handles client requests: one method for each type of {@link ClientRequest}. */
public interface ClientRequestHandler {
    /** Handles the write of a config version. */
    void handle(ClientRequest.Set set);

    /** Handles a linearizable read. */
    void handle(ClientRequest.Read read);

    /** Handles the addition of a member. */
    void handle(ClientRequest.AddMember addition);

    /** Handles the removal of a member. */
    void handle(ClientRequest.RemoveMember removal);
}
