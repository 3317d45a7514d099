package sedgeyoke.consensus;

/** Dispatches each message to the component of a {@link RaftNode} that handles it. */
final class MessageDispatch implements RaftMessageHandler {
    private final Handlers handlers;
    /** The storage id that the sender states with the current message. */
    private long senderStorageId;

    /** The components of one node that handle messages. */
    record Handlers(
            Election election,
            LogReplication replication,
            AppendEntriesHandler appendEntries,
            SnapshotTransfer snapshots,
            PeerIdentities identities,
            RecoveryQueries recoveryQueries,
            ClientRequests requests,
            ConfigLeases leases) {}

    MessageDispatch(Handlers handlers) {
        this.handlers = handlers;
    }

    void dispatch(String from, long storageId, RaftMessage message) {
        senderStorageId = storageId;
        message.deliver(from, this);
    }

    @Override
    public void handle(String from, RaftMessage.RequestPreVote request) {
        handlers.election().handle(from, request);
    }

    @Override
    public void handle(String from, RaftMessage.PreVoteResponse response) {
        handlers.election().handle(from, response);
    }

    @Override
    public void handle(String from, RaftMessage.RequestVote request) {
        handlers.election().handle(from, request);
    }

    @Override
    public void handle(String from, RaftMessage.VoteResponse response) {
        handlers.election().handle(from, response);
    }

    @Override
    public void handle(String from, RaftMessage.AppendEntries request) {
        handlers.appendEntries().handle(from, request);
    }

    @Override
    public void handle(String from, RaftMessage.AppendEntriesResponse response) {
        handlers.replication().handle(from, response);
    }

    @Override
    public void handle(String from, RaftMessage.InstallSnapshotChunk chunk) {
        handlers.snapshots().handle(from, chunk);
    }

    @Override
    public void handle(String from, RaftMessage.SnapshotChunkAck ack) {
        handlers.replication().handle(from, ack);
    }

    @Override
    public void handle(String from, RaftMessage.TimeoutNow message) {
        handlers.election().handle(from, message);
    }

    @Override
    public void handle(String from, RaftMessage.RecoveryQuery query) {
        handlers.identities().handle(from, senderStorageId, query);
    }

    @Override
    public void handle(String from, RaftMessage.RecoveryReply reply) {
        handlers.recoveryQueries().handle(from, reply);
    }

    @Override
    public void handle(String from, RaftMessage.NotAMember notice) {
        handlers.recoveryQueries().handle(from, notice);
    }

    @Override
    public void handle(String from, RaftMessage.ForwardedRequest request) {
        handlers.requests().handle(from, request);
    }

    @Override
    public void handle(String from, RaftMessage.ForwardedResponse response) {
        handlers.requests().handle(response);
    }

    @Override
    public void handle(String from, RaftMessage.LeaseRequests message) {
        handlers.leases().handle(from, message);
    }

    @Override
    public void handle(String from, RaftMessage.LeaseResponses message) {
        handlers.leases().handle(message);
    }
}
