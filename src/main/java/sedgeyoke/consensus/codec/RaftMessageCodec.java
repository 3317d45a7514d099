package sedgeyoke.consensus.codec;

import static sedgeyoke.transport.InvalidMessageException.require;

import java.util.ArrayList;
import java.util.List;
import sedgeyoke.consensus.LeaseRequest;
import sedgeyoke.consensus.LeaseResponse;
import sedgeyoke.consensus.LogEntry;
import sedgeyoke.consensus.RaftMessage;
import sedgeyoke.transport.InvalidMessageException;
import sedgeyoke.transport.proto.AppendEntriesMessage;
import sedgeyoke.transport.proto.AppendEntriesResponseMessage;
import sedgeyoke.transport.proto.InstallSnapshotChunkMessage;
import sedgeyoke.transport.proto.LogEntryMessage;
import sedgeyoke.transport.proto.RaftEnvelope;
import sedgeyoke.transport.proto.RecoveryQueryMessage;
import sedgeyoke.transport.proto.RecoveryReplyMessage;
import sedgeyoke.transport.proto.RequestVoteMessage;
import sedgeyoke.transport.proto.SnapshotChunkAckMessage;
import sedgeyoke.transport.proto.VoteResponseMessage;

/** Converts Raft messages to and from protobuf messages, and rejects messages that no correct replica sends. */
public final class RaftMessageCodec {
    private static final int MAX_INCARNATIONS = 1_000;
    private static final String UNUSED_SENDER = "";

    private RaftMessageCodec() {}

    /** Encodes a message that the replica with this storage id sends. */
    public static RaftEnvelope encode(long storageId, RaftMessage message) {
        RaftEnvelope.Builder envelope =
                RaftEnvelope.newBuilder().setTerm(message.term()).setStorageId(storageId);
        message.deliver(UNUSED_SENDER, new RaftMessageEncoder(envelope));
        return envelope.build();
    }

    /** Decodes a message; throws if a field is invalid or if only a newer release knows its type. */
    public static RaftMessage decode(RaftEnvelope envelope) throws InvalidMessageException {
        long term = envelope.getTerm();
        require(term >= 0, "term");
        return switch (envelope.getBodyCase()) {
            case REQUEST_PRE_VOTE -> preVote(term, envelope.getRequestPreVote());
            case PRE_VOTE_RESPONSE -> preVoteResponse(term, envelope.getPreVoteResponse());
            case REQUEST_VOTE -> vote(term, envelope.getRequestVote());
            case VOTE_RESPONSE -> voteResponse(term, envelope.getVoteResponse());
            case APPEND_ENTRIES -> appendEntries(term, envelope.getAppendEntries());
            case APPEND_ENTRIES_RESPONSE -> appendEntriesResponse(term, envelope.getAppendEntriesResponse());
            case INSTALL_SNAPSHOT_CHUNK -> snapshotChunk(term, envelope.getInstallSnapshotChunk());
            case SNAPSHOT_CHUNK_ACK -> snapshotChunkAck(term, envelope.getSnapshotChunkAck());
            case TIMEOUT_NOW -> new RaftMessage.TimeoutNow(term);
            case RECOVERY_QUERY -> recoveryQuery(term, envelope.getRecoveryQuery());
            case RECOVERY_REPLY -> recoveryReply(term, envelope.getRecoveryReply());
            case NOT_A_MEMBER -> new RaftMessage.NotAMember(term, envelope.getNotAMember());
            case FORWARDED_REQUEST -> new RaftMessage.ForwardedRequest(
                    term,
                    envelope.getForwardedRequest().getToken(),
                    ClientCodec.decode(envelope.getForwardedRequest().getRequest()));
            case FORWARDED_RESPONSE -> new RaftMessage.ForwardedResponse(
                    term,
                    envelope.getForwardedResponse().getToken(),
                    ClientCodec.decode(envelope.getForwardedResponse().getResult()));
            case LEASE_REQUESTS -> leaseRequests(term, envelope);
            case LEASE_RESPONSES -> leaseResponses(term, envelope);
            case BODY_NOT_SET -> throw InvalidMessageException.unknownType("message", "sent it");
        };
    }

    // ---- Elections -----------------------------------------------------------------------------------

    private static RaftMessage preVote(long term, RequestVoteMessage message) {
        return new RaftMessage.RequestPreVote(term, message.getLastIndex(), message.getLastTerm());
    }

    private static RaftMessage preVoteResponse(long term, VoteResponseMessage message) {
        return new RaftMessage.PreVoteResponse(term, message.getGranted(), message.getRecovered());
    }

    private static RaftMessage vote(long term, RequestVoteMessage message) {
        return new RaftMessage.RequestVote(
                term, message.getLastIndex(), message.getLastTerm(), message.getLeadershipTransfer());
    }

    private static RaftMessage voteResponse(long term, VoteResponseMessage message) {
        return new RaftMessage.VoteResponse(term, message.getGranted(), message.getRecovered());
    }

    // ---- Replication ---------------------------------------------------------------------------------

    private static RaftMessage appendEntries(long term, AppendEntriesMessage message) throws InvalidMessageException {
        List<LogEntry> entries = new ArrayList<>(message.getEntriesCount());
        long expectedIndex = message.getPrevIndex() + 1;
        for (LogEntryMessage entry : message.getEntriesList()) {
            require(entry.getIndex() == expectedIndex, "index of entry");
            require(entry.getTerm() >= message.getPrevTerm() && entry.getTerm() <= term, "term of entry");
            entries.add(LogCodec.decode(entry));
            expectedIndex++;
        }
        return new RaftMessage.AppendEntries(
                term,
                message.getPrevIndex(),
                message.getPrevTerm(),
                entries,
                message.getLeaderCommit(),
                message.getRound());
    }

    private static RaftMessage appendEntriesResponse(long term, AppendEntriesResponseMessage message) {
        return new RaftMessage.AppendEntriesResponse(
                term,
                message.getSuccess(),
                message.getMatchIndex(),
                message.getRound(),
                message.getIncarnation(),
                message.getRecovered());
    }

    private static RaftMessage snapshotChunk(long term, InstallSnapshotChunkMessage message) {
        return new RaftMessage.InstallSnapshotChunk(
                term,
                message.getLastIncludedIndex(),
                message.getLastIncludedTerm(),
                message.getOffset(),
                message.getTotalSize(),
                message.getData().toByteArray(),
                message.getRound());
    }

    private static RaftMessage snapshotChunkAck(long term, SnapshotChunkAckMessage message) {
        return new RaftMessage.SnapshotChunkAck(
                term, message.getLastIncludedIndex(), message.getNextOffset(), message.getRound());
    }

    // ---- Recovery ------------------------------------------------------------------------------------

    private static RaftMessage recoveryQuery(long term, RecoveryQueryMessage message) throws InvalidMessageException {
        int count = message.getIncarnationsCount();
        require(count > 0 && count <= MAX_INCARNATIONS, "number of incarnations");
        return new RaftMessage.RecoveryQuery(term, message.getIncarnationsList(), message.getQueryId());
    }

    private static RaftMessage recoveryReply(long term, RecoveryReplyMessage message) {
        return new RaftMessage.RecoveryReply(
                term,
                message.getQueryId(),
                message.getOutdated(),
                message.getRecovered(),
                message.getDataLost(),
                message.getIsLeader(),
                message.getLastIndex(),
                message.getKnownIncarnation());
    }

    // ---- Leases --------------------------------------------------------------------------------------

    private static RaftMessage leaseRequests(long term, RaftEnvelope envelope) {
        List<LeaseRequest> requests = envelope.getLeaseRequests().getRequestsList().stream()
                .map(ClientCodec::decode)
                .toList();
        return new RaftMessage.LeaseRequests(term, envelope.getLeaseRequests().getNumber(), requests);
    }

    private static RaftMessage leaseResponses(long term, RaftEnvelope envelope) {
        List<LeaseResponse> responses = envelope.getLeaseResponses().getResponsesList().stream()
                .map(ClientCodec::decode)
                .toList();
        return new RaftMessage.LeaseResponses(
                term,
                envelope.getLeaseResponses().getNumber(),
                envelope.getLeaseResponses().getCommitIndex(),
                responses);
    }
}
