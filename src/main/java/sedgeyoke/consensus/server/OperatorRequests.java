package sedgeyoke.consensus.server;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import sedgeyoke.consensus.ClientRequest;
import sedgeyoke.consensus.ConfigVersion;
import sedgeyoke.consensus.Event;
import sedgeyoke.consensus.RaftNode;
import sedgeyoke.consensus.RaftTiming;
import sedgeyoke.consensus.RequestResult;
import sedgeyoke.consensus.codec.ClientCodec;
import sedgeyoke.consensus.codec.ConfigCodec;
import sedgeyoke.consensus.codec.LogCodec;
import sedgeyoke.transport.FramedConnection;
import sedgeyoke.transport.InvalidMessageException;
import sedgeyoke.transport.proto.Frame;
import sedgeyoke.transport.proto.OperatorReplyMessage;
import sedgeyoke.transport.proto.OperatorRequestMessage;
import sedgeyoke.transport.proto.ServerStatusMessage;

/**
 * Handles operators' requests. Replies to requests for the status and the history at once, and to others with the
 * result of the Raft node. To be used on the event loop.
 */
final class OperatorRequests {
    private static final int MAX_PENDING = 1_000;
    /** How long a reply may wait until this server has the version that the reply names. */
    private static final long MAX_REPLY_DELAY_MICROS = 3_000_000;

    private static final long REPLY_RETRY_MILLIS = 20;

    private final ServerContext context;
    private final RaftNode node;
    private final RaftTiming timing;
    private final BalancerSubscriptions subscriptions;
    private final Map<Long, PendingRequest> pending = new HashMap<>();
    private long lastToken;

    /**
     * A request that was submitted to the Raft node.
     *
     * @param token the token that the operator's client gave it
     * @param replyByMicros deadline until which the reply may wait for the version that it names
     */
    private record PendingRequest(FramedConnection connection, long token, long replyByMicros) {}

    OperatorRequests(ServerContext context, RaftNode node, RaftTiming timing, BalancerSubscriptions subscriptions) {
        this.context = context;
        this.node = node;
        this.timing = timing;
        this.subscriptions = subscriptions;
    }

    /** Handles a request of an operator. */
    void handle(FramedConnection connection, OperatorRequestMessage message) throws InvalidMessageException {
        long token = message.getToken();
        if (message.getBodyCase() == OperatorRequestMessage.BodyCase.STATUS) {
            send(connection, newReply(token).setStatus(status()));
        } else if (message.getBodyCase() == OperatorRequestMessage.BodyCase.HISTORY) {
            OperatorReplyMessage.Builder reply = newReply(token);
            node.history().forEach(version -> reply.addHistory(ConfigCodec.encode(version)));
            send(connection, reply);
        } else if (pending.size() >= MAX_PENDING) {
            RequestResult busy = new RequestResult(RequestResult.Kind.BUSY, 0, "too many pending requests");
            send(connection, newReply(token).setResult(ClientCodec.encode(busy)));
        } else {
            submit(connection, message);
        }
    }

    private void submit(FramedConnection connection, OperatorRequestMessage message) throws InvalidMessageException {
        ClientRequest request = ClientCodec.decode(message.getRequest());
        lastToken++;
        long replyBy = context.clock().getAsLong() + MAX_REPLY_DELAY_MICROS;
        pending.put(lastToken, new PendingRequest(connection, message.getToken(), replyBy));
        context.events().accept(new Event.RequestReceived(lastToken, request));
    }

    /** Replies to the request that was submitted to the Raft node with this token. */
    void complete(long token, RequestResult result) {
        PendingRequest request = pending.remove(token);
        if (request != null) {
            reply(request, result);
        }
    }

    /** Replies as soon as this server has the resulting version, which the leader may have earlier. */
    private void reply(PendingRequest request, RequestResult result) {
        long newestVersion = newestVersion();
        boolean versionUnknown = result.kind() == RequestResult.Kind.DONE && newestVersion < result.version();
        if (versionUnknown && context.clock().getAsLong() < request.replyByMicros()) {
            context.loop().schedule(() -> reply(request, result), REPLY_RETRY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        RequestResult known = versionUnknown
                ? new RequestResult(
                        RequestResult.Kind.UNKNOWN,
                        newestVersion,
                        "this config server has not received the committed version")
                : result;
        send(request.connection(), newReply(request.token()).setResult(ClientCodec.encode(known)));
    }

    private long newestVersion() {
        ConfigVersion newest = node.pending() == null ? node.active() : node.pending();
        return newest.number();
    }

    private OperatorReplyMessage.Builder newReply(long token) {
        OperatorReplyMessage.Builder reply =
                OperatorReplyMessage.newBuilder().setToken(token).setActive(ConfigCodec.encode(node.active()));
        if (node.pending() != null) {
            reply.setPending(ConfigCodec.encode(node.pending()));
        }
        return reply;
    }

    private static void send(FramedConnection connection, OperatorReplyMessage.Builder reply) {
        connection.send(Frame.newBuilder().setOperatorReply(reply).build());
    }

    private ServerStatusMessage status() {
        return ServerStatusMessage.newBuilder()
                .setName(context.settings().name())
                .setRole(node.role().name().toLowerCase(Locale.ROOT))
                .setTerm(node.term())
                .setLeader(node.leader() == null ? "" : node.leader())
                .setCommitIndex(node.commitIndex())
                .setLastIndex(node.lastIndex())
                .setRecovered(node.isRecovered())
                .setSuspectedLoss(node.suspectedLoss() == null ? "" : node.suspectedLoss())
                .setMembership(LogCodec.encode(node.membership()))
                .setActiveVersion(node.active().number())
                .setPendingVersion(node.pending() == null ? 0 : node.pending().number())
                .setLeaseHolders(node.leaseHolders())
                .setLeaseMs(context.settings().leaseMs())
                .setStorageId(context.storageId())
                .setSubscribers(subscriptions.count())
                .setContradictionBoundMs(roundUpToMillis(timing.contradictionBoundMicros()))
                .setActivationBoundMs(roundUpToMillis(timing.activationBoundMicros()))
                .build();
    }

    private static long roundUpToMillis(long micros) {
        return (micros + RaftTiming.MICROS_PER_MILLI - 1) / RaftTiming.MICROS_PER_MILLI;
    }
}
