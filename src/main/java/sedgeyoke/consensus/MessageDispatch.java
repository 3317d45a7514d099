package sedgeyoke.consensus;

/** Hands each message to the part of a {@link RaftNode} that handles it. */
final class MessageDispatch implements RaftMessageHandler {
    private final Election election;
    private final LogReplication replication;
    private final AppendEntriesHandler appendEntriesHandler;
    private final SnapshotTransfer snapshots;
    private final PeerIdentities identities;
    private final RecoveryQueries recoveryQueries;
    private final ClientRequests requests;
    private final ConfigLeases leases;
    /** The storage id that the sender of the present message states. */
    private long senderStorageId;

    MessageDispatch(
            Election election,
            LogReplication replication,
            AppendEntriesHandler appendEntriesHandler,
            SnapshotTransfer snapshots,
            PeerIdentities identities,
            RecoveryQueries recoveryQueries,
            ClientRequests requests,
            ConfigLeases leases) {
        this.election = election;
        this.replication = replication;
        this.appendEntriesHandler = appendEntriesHandler;
        this.snapshots = snapshots;
        this.identities = identities;
        this.recoveryQueries = recoveryQueries;
        this.requests = requests;
        this.leases = leases;
    }

    void dispatch(String from, long storageId, RaftMessage message) {
        senderStorageId = storageId;
        message.deliver(from, this);
    }

    @Override
    public void handle(String from, RaftMessage.RequestPreVote request) {
        election.handle(from, request);
    }

    @Override
    public void handle(String from, RaftMessage.PreVoteResponse response) {
        election.handle(from, response);
    }

    @Override
    public void handle(String from, RaftMessage.RequestVote request) {
        election.handle(from, request);
    }

    @Override
    public void handle(String from, RaftMessage.VoteResponse response) {
        election.handle(from, response);
    }

    @Override
    public void handle(String from, RaftMessage.AppendEntries request) {
        appendEntriesHandler.handle(from, request);
    }

    @Override
    public void handle(String from, RaftMessage.AppendEntriesResponse response) {
        replication.handle(from, response);
    }

    @Override
    public void handle(String from, RaftMessage.InstallSnapshotChunk chunk) {
        snapshots.handle(from, chunk);
    }

    @Override
    public void handle(String from, RaftMessage.SnapshotChunkAck ack) {
        replication.handle(from, ack);
    }

    @Override
    public void handle(String from, RaftMessage.TimeoutNow message) {
        election.handle(from, message);
    }

    @Override
    public void handle(String from, RaftMessage.RecoveryQuery query) {
        identities.handle(from, senderStorageId, query);
    }

    @Override
    public void handle(String from, RaftMessage.RecoveryReply reply) {
        recoveryQueries.handle(from, reply);
    }

    @Override
    public void handle(String from, RaftMessage.NotAMember notice) {
        recoveryQueries.handle(from, notice);
    }

    @Override
    public void handle(String from, RaftMessage.ForwardedRequest request) {
        requests.handle(from, request);
    }

    @Override
    public void handle(String from, RaftMessage.ForwardedResponse response) {
        requests.handle(response);
    }

    @Override
    public void handle(String from, RaftMessage.LeaseRequests message) {
        leases.handle(from, message);
    }

    @Override
    public void handle(String from, RaftMessage.LeaseResponses message) {
        leases.handle(message);
    }
}
