package sedgeyoke.consensus.codec;

import com.google.protobuf.ByteString;
import sedgeyoke.consensus.RaftMessage;
import sedgeyoke.consensus.RaftMessageHandler;
import sedgeyoke.transport.proto.AppendEntriesMessage;
import sedgeyoke.transport.proto.AppendEntriesResponseMessage;
import sedgeyoke.transport.proto.ForwardedRequestMessage;
import sedgeyoke.transport.proto.ForwardedResponseMessage;
import sedgeyoke.transport.proto.InstallSnapshotChunkMessage;
import sedgeyoke.transport.proto.LeaseRequestsMessage;
import sedgeyoke.transport.proto.LeaseResponsesMessage;
import sedgeyoke.transport.proto.RaftEnvelope;
import sedgeyoke.transport.proto.RecoveryQueryMessage;
import sedgeyoke.transport.proto.RecoveryReplyMessage;
import sedgeyoke.transport.proto.RequestVoteMessage;
import sedgeyoke.transport.proto.SnapshotChunkAckMessage;
import sedgeyoke.transport.proto.VoteResponseMessage;

/** Sets the body of an envelope to a Raft message. The sender's name is not part of the message and is ignored. */
final class RaftMessageEncoder implements RaftMessageHandler {
    private final RaftEnvelope.Builder envelope;

    RaftMessageEncoder(RaftEnvelope.Builder envelope) {
        this.envelope = envelope;
    }

    @Override
    public void handle(String from, RaftMessage.RequestPreVote request) {
        envelope.setRequestPreVote(RequestVoteMessage.newBuilder()
                .setLastIndex(request.lastIndex())
                .setLastTerm(request.lastTerm()));
    }

    @Override
    public void handle(String from, RaftMessage.PreVoteResponse response) {
        envelope.setPreVoteResponse(
                VoteResponseMessage.newBuilder().setGranted(response.granted()).setRecovered(response.recovered()));
    }

    @Override
    public void handle(String from, RaftMessage.RequestVote request) {
        envelope.setRequestVote(RequestVoteMessage.newBuilder()
                .setLastIndex(request.lastIndex())
                .setLastTerm(request.lastTerm())
                .setLeadershipTransfer(request.leadershipTransfer()));
    }

    @Override
    public void handle(String from, RaftMessage.VoteResponse response) {
        envelope.setVoteResponse(
                VoteResponseMessage.newBuilder().setGranted(response.granted()).setRecovered(response.recovered()));
    }

    @Override
    public void handle(String from, RaftMessage.AppendEntries request) {
        AppendEntriesMessage.Builder message = AppendEntriesMessage.newBuilder()
                .setPrevIndex(request.prevIndex())
                .setPrevTerm(request.prevTerm())
                .setLeaderCommit(request.leaderCommit())
                .setRound(request.round());
        request.entries().forEach(entry -> message.addEntries(LogCodec.encode(entry)));
        envelope.setAppendEntries(message);
    }

    @Override
    public void handle(String from, RaftMessage.AppendEntriesResponse response) {
        envelope.setAppendEntriesResponse(AppendEntriesResponseMessage.newBuilder()
                .setSuccess(response.success())
                .setMatchIndex(response.matchIndex())
                .setRound(response.round())
                .setIncarnation(response.incarnation())
                .setRecovered(response.recovered()));
    }

    @Override
    public void handle(String from, RaftMessage.InstallSnapshotChunk chunk) {
        envelope.setInstallSnapshotChunk(InstallSnapshotChunkMessage.newBuilder()
                .setLastIncludedIndex(chunk.lastIncludedIndex())
                .setLastIncludedTerm(chunk.lastIncludedTerm())
                .setOffset(chunk.offset())
                .setTotalSize(chunk.totalSize())
                .setData(ByteString.copyFrom(chunk.data()))
                .setRound(chunk.round()));
    }

    @Override
    public void handle(String from, RaftMessage.SnapshotChunkAck ack) {
        envelope.setSnapshotChunkAck(SnapshotChunkAckMessage.newBuilder()
                .setLastIncludedIndex(ack.lastIncludedIndex())
                .setNextOffset(ack.nextOffset())
                .setRound(ack.round()));
    }

    @Override
    public void handle(String from, RaftMessage.TimeoutNow message) {
        envelope.setTimeoutNow(true);
    }

    @Override
    public void handle(String from, RaftMessage.RecoveryQuery query) {
        envelope.setRecoveryQuery(RecoveryQueryMessage.newBuilder()
                .addAllIncarnations(query.incarnations())
                .setQueryId(query.queryId()));
    }

    @Override
    public void handle(String from, RaftMessage.RecoveryReply reply) {
        envelope.setRecoveryReply(RecoveryReplyMessage.newBuilder()
                .setQueryId(reply.queryId())
                .setOutdated(reply.outdated())
                .setRecovered(reply.recovered())
                .setDataLost(reply.dataLost())
                .setIsLeader(reply.isLeader())
                .setLastIndex(reply.lastIndex())
                .setKnownIncarnation(reply.knownIncarnation()));
    }

    @Override
    public void handle(String from, RaftMessage.NotAMember notice) {
        envelope.setNotAMember(notice.reason());
    }

    @Override
    public void handle(String from, RaftMessage.ForwardedRequest request) {
        envelope.setForwardedRequest(ForwardedRequestMessage.newBuilder()
                .setToken(request.token())
                .setRequest(ClientCodec.encode(request.request())));
    }

    @Override
    public void handle(String from, RaftMessage.ForwardedResponse response) {
        envelope.setForwardedResponse(ForwardedResponseMessage.newBuilder()
                .setToken(response.token())
                .setResult(ClientCodec.encode(response.result())));
    }

    @Override
    public void handle(String from, RaftMessage.LeaseRequests requests) {
        LeaseRequestsMessage.Builder message = LeaseRequestsMessage.newBuilder().setNumber(requests.number());
        requests.requests().forEach(request -> message.addRequests(ClientCodec.encode(request)));
        envelope.setLeaseRequests(message);
    }

    @Override
    public void handle(String from, RaftMessage.LeaseResponses responses) {
        LeaseResponsesMessage.Builder message = LeaseResponsesMessage.newBuilder()
                .setNumber(responses.number())
                .setCommitIndex(responses.commitIndex());
        responses.responses().forEach(response -> message.addResponses(ClientCodec.encode(response)));
        envelope.setLeaseResponses(message);
    }
}
