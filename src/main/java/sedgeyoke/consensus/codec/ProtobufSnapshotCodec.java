package sedgeyoke.consensus.codec;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sedgeyoke.consensus.ConfigStateMachine;
import sedgeyoke.consensus.ConfigVersion;
import sedgeyoke.consensus.RequestResult;
import sedgeyoke.consensus.Snapshot;
import sedgeyoke.consensus.SnapshotCodec;
import sedgeyoke.transport.proto.CompletedRequestMessage;
import sedgeyoke.transport.proto.SnapshotMessage;

/** Encodes snapshots as protobuf messages, for the transfer to other replicas and for the disk. */
public final class ProtobufSnapshotCodec implements SnapshotCodec {
    @Override
    public byte[] encode(Snapshot snapshot) {
        ConfigStateMachine.State state = snapshot.state();
        SnapshotMessage.Builder message = SnapshotMessage.newBuilder()
                .setLastIncludedIndex(snapshot.lastIncludedIndex())
                .setLastIncludedTerm(snapshot.lastIncludedTerm())
                .setMembership(LogCodec.encode(state.membership()))
                .setActive(ConfigCodec.encode(state.active()));
        if (state.pending() != null) {
            message.setPending(ConfigCodec.encode(state.pending()));
        }
        state.history().forEach(version -> message.addHistory(ConfigCodec.encode(version)));
        state.requests()
                .forEach((requestId, result) -> message.addRequests(CompletedRequestMessage.newBuilder()
                        .setRequestId(requestId)
                        .setResult(ClientCodec.encode(result))));
        return message.build().toByteArray();
    }

    @Override
    public Snapshot decode(byte[] bytes) {
        SnapshotMessage message;
        try {
            message = SnapshotMessage.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            return null;
        }
        Map<String, RequestResult> requests = new LinkedHashMap<>();
        message.getRequestsList()
                .forEach(request -> requests.put(request.getRequestId(), ClientCodec.decode(request.getResult())));
        List<ConfigVersion> history =
                message.getHistoryList().stream().map(ConfigCodec::decode).toList();
        return new Snapshot(
                message.getLastIncludedIndex(),
                message.getLastIncludedTerm(),
                new ConfigStateMachine.State(
                        LogCodec.decode(message.getMembership()),
                        ConfigCodec.decode(message.getActive()),
                        message.hasPending() ? ConfigCodec.decode(message.getPending()) : null,
                        history,
                        requests));
    }
}
