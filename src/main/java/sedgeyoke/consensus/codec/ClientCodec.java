package sedgeyoke.consensus.codec;

import sedgeyoke.consensus.ClientRequest;
import sedgeyoke.consensus.ClientRequestHandler;
import sedgeyoke.consensus.LeaseRequest;
import sedgeyoke.consensus.LeaseResponse;
import sedgeyoke.consensus.RequestResult;
import sedgeyoke.transport.InvalidMessageException;
import sedgeyoke.transport.proto.ClientRequestMessage;
import sedgeyoke.transport.proto.LeaseRequestMessage;
import sedgeyoke.transport.proto.LeaseResponseMessage;
import sedgeyoke.transport.proto.MemberMessage;
import sedgeyoke.transport.proto.RequestResultMessage;

/** Converts requests of operators and balancers, and their responses, to and from protobuf messages. */
public final class ClientCodec {
    private ClientCodec() {}

    // ---- Requests of operators -----------------------------------------------------------------------

    /** Encodes a request. */
    public static ClientRequestMessage encode(ClientRequest request) {
        ClientRequestMessage.Builder message = ClientRequestMessage.newBuilder();
        request.deliver(new RequestEncoder(message));
        return message.build();
    }

    /** Sets the request in a message. */
    private record RequestEncoder(ClientRequestMessage.Builder message) implements ClientRequestHandler {
        @Override
        public void handle(ClientRequest.Set set) {
            message.setSet(LogCodec.encode(set.write()));
        }

        @Override
        public void handle(ClientRequest.Read read) {
            message.setRead(true);
        }

        @Override
        public void handle(ClientRequest.AddMember addition) {
            message.setAddMember(LogCodec.encode(addition.member()));
        }

        @Override
        public void handle(ClientRequest.RemoveMember removal) {
            message.setRemoveMember(
                    MemberMessage.newBuilder().setName(removal.name()).setStorageId(removal.storageId()));
        }
    }

    /** Decodes a request; throws if it is invalid or of a kind that only a newer release knows. */
    public static ClientRequest decode(ClientRequestMessage message) throws InvalidMessageException {
        return switch (message.getRequestCase()) {
            case SET -> new ClientRequest.Set(LogCodec.decode(message.getSet()));
            case ADD_MEMBER -> new ClientRequest.AddMember(LogCodec.decode(message.getAddMember()));
            case REMOVE_MEMBER -> new ClientRequest.RemoveMember(
                    message.getRemoveMember().getName(),
                    message.getRemoveMember().getStorageId());
            case READ -> new ClientRequest.Read();
            case REQUEST_NOT_SET -> throw InvalidMessageException.unknownType("request", "sent it");
        };
    }

    /** Encodes a result. Its kind is encoded as the position in the enum, which must not change. */
    public static RequestResultMessage encode(RequestResult result) {
        return RequestResultMessage.newBuilder()
                .setKind(result.kind().ordinal())
                .setVersion(result.version())
                .setDetail(result.detail())
                .build();
    }

    /** Decodes a result; a kind that only a newer release knows becomes UNKNOWN. */
    public static RequestResult decode(RequestResultMessage message) {
        RequestResult.Kind[] kinds = RequestResult.Kind.values();
        boolean known = message.getKind() >= 0 && message.getKind() < kinds.length;
        return new RequestResult(
                known ? kinds[message.getKind()] : RequestResult.Kind.UNKNOWN,
                message.getVersion(),
                message.getDetail());
    }

    // ---- Leases --------------------------------------------------------------------------------------

    /** Encodes a lease request. */
    public static LeaseRequestMessage encode(LeaseRequest request) {
        return LeaseRequestMessage.newBuilder()
                .setBalancer(request.balancer())
                .setIncarnation(request.incarnation())
                .setSentAtUs(request.sentAtMicros())
                .setHeldVersion(request.heldVersion())
                .setSchemaVersion(request.schemaVersion())
                .build();
    }

    /** Decodes a lease request. */
    public static LeaseRequest decode(LeaseRequestMessage message) {
        return new LeaseRequest(
                message.getBalancer(),
                message.getIncarnation(),
                message.getSentAtUs(),
                message.getHeldVersion(),
                message.getSchemaVersion());
    }

    /** Encodes a lease response. */
    public static LeaseResponseMessage encode(LeaseResponse response) {
        return LeaseResponseMessage.newBuilder()
                .setBalancer(response.balancer())
                .setIncarnation(response.incarnation())
                .setSentAtUs(response.sentAtMicros())
                .setActiveVersion(response.activeVersion())
                .setPendingVersion(response.pendingVersion())
                .setGranted(response.granted())
                .build();
    }

    /** Decodes a lease response. */
    public static LeaseResponse decode(LeaseResponseMessage message) {
        return new LeaseResponse(
                message.getBalancer(),
                message.getIncarnation(),
                message.getSentAtUs(),
                message.getActiveVersion(),
                message.getPendingVersion(),
                message.getGranted());
    }
}
