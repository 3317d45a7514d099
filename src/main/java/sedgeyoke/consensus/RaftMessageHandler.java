package sedgeyoke.consensus;

/** Handles messages: one method for each type of {@link RaftMessage}. {@code from} names the sending replica. */
public interface RaftMessageHandler {
    /** Handles a pre-vote request. */
    void handle(String from, RaftMessage.RequestPreVote request);

    /** Handles the response to a pre-vote request. */
    void handle(String from, RaftMessage.PreVoteResponse response);

    /** Handles a vote request. */
    void handle(String from, RaftMessage.RequestVote request);

    /** Handles the response to a vote request. */
    void handle(String from, RaftMessage.VoteResponse response);

    /** Handles log entries or a heartbeat. */
    void handle(String from, RaftMessage.AppendEntries request);

    /** Handles the response to log entries or a heartbeat. */
    void handle(String from, RaftMessage.AppendEntriesResponse response);

    /** Handles a chunk of a snapshot. */
    void handle(String from, RaftMessage.InstallSnapshotChunk chunk);

    /** Handles the acknowledgement of a snapshot chunk. */
    void handle(String from, RaftMessage.SnapshotChunkAck ack);

    /** Handles the leader's instruction to start an election. */
    void handle(String from, RaftMessage.TimeoutNow message);

    /** Handles the query of a replica that has started. */
    void handle(String from, RaftMessage.RecoveryQuery query);

    /** Handles the reply to a recovery query. */
    void handle(String from, RaftMessage.RecoveryReply reply);

    /** Handles the notice that this replica is not a member. */
    void handle(String from, RaftMessage.NotAMember notice);

    /** Handles a client's request that another replica forwarded. */
    void handle(String from, RaftMessage.ForwardedRequest request);

    /** Handles the result of a request that this replica forwarded. */
    void handle(String from, RaftMessage.ForwardedResponse response);

    /** Handles lease requests that another replica forwarded. */
    void handle(String from, RaftMessage.LeaseRequests requests);

    /** Handles the responses to lease requests that this replica forwarded. */
    void handle(String from, RaftMessage.LeaseResponses responses);
}
