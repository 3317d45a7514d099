package sedgeyoke.consensus.server;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import sedgeyoke.consensus.ClientRequest;
import sedgeyoke.consensus.Command;
import sedgeyoke.consensus.ConfigDocument;
import sedgeyoke.consensus.ConfigVersion;
import sedgeyoke.consensus.Membership;
import sedgeyoke.consensus.RequestResult;
import sedgeyoke.consensus.codec.ClientCodec;
import sedgeyoke.consensus.codec.ConfigCodec;
import sedgeyoke.consensus.codec.LogCodec;
import sedgeyoke.settings.TlsFiles;
import sedgeyoke.transport.FramedConnection;
import sedgeyoke.transport.MutualTls;
import sedgeyoke.transport.PeerRole;
import sedgeyoke.transport.proto.Frame;
import sedgeyoke.transport.proto.OperatorReplyMessage;
import sedgeyoke.transport.proto.OperatorRequestMessage;
import sedgeyoke.transport.proto.ServerStatusMessage;

/**
 * Sends operators' requests to the config servers. It tries one server after the other until one returns a definite
 * result. A write that got no response may have been committed, so it is repeated with the same request id, which makes
 * it idempotent. Methods block. Not thread-safe, and not to be called on an event loop.
 */
public final class ConfigClient implements AutoCloseable {
    private static final long ATTEMPT_TIMEOUT_MILLIS = 1_500;
    private static final long RETRY_DELAY_MILLIS = 100;
    /** Each connection carries only one request, so the token can be constant. */
    private static final int TOKEN = 1;

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final List<InetSocketAddress> servers;
    private final String name;
    private final MutualTls tls;
    private int nextServer;

    /** Creates a client; throws if the TLS files cannot be loaded. {@code name}: as in the operator's certificate. */
    public ConfigClient(List<InetSocketAddress> servers, String name, TlsFiles files) throws IOException {
        this.servers = List.copyOf(servers);
        this.name = name;
        this.tls = MutualTls.forClient(files, line -> {});
    }

    // ---- Requests ------------------------------------------------------------------------------------

    /**
     * Sends a request to one server after the other until one returns a definite result.
     *
     * @param timeoutMillis time after which the result is UNKNOWN if the request may have been committed, otherwise
     *     NO_LEADER
     */
    public ConfigResponse submit(ClientRequest request, long timeoutMillis) throws InterruptedException {
        OperatorRequestMessage message = OperatorRequestMessage.newBuilder()
                .setToken(TOKEN)
                .setRequest(ClientCodec.encode(request))
                .build();
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        boolean mayBeCommitted = false;
        ConfigResponse last = null;
        while (System.nanoTime() < deadlineNanos) {
            Optional<OperatorReplyMessage> reply = exchange(
                            servers.get(nextServer), message, attemptTimeoutMillis(deadlineNanos))
                    .filter(OperatorReplyMessage::hasResult);
            if (reply.isPresent()) {
                last = decode(reply.get());
                if (isDefinite(last.result().kind())) {
                    return last;
                }
                mayBeCommitted |= last.result().kind() == RequestResult.Kind.UNKNOWN;
            } else {
                mayBeCommitted |= !(request instanceof ClientRequest.Read);
            }
            nextServer = (nextServer + 1) % servers.size();
            TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MILLIS);
        }
        return timedOut(mayBeCommitted, last);
    }

    private static boolean isDefinite(RequestResult.Kind kind) {
        return kind == RequestResult.Kind.DONE
                || kind == RequestResult.Kind.CONFLICT
                || kind == RequestResult.Kind.REFUSED;
    }

    private static ConfigResponse timedOut(boolean mayBeCommitted, ConfigResponse last) {
        RequestResult.Kind kind = mayBeCommitted ? RequestResult.Kind.UNKNOWN : RequestResult.Kind.NO_LEADER;
        if (last == null) {
            RequestResult result = new RequestResult(kind, 0, "no config server has responded");
            return new ConfigResponse(result, ConfigVersion.NONE, null, List.of());
        }
        RequestResult result = new RequestResult(kind, 0, last.result().detail());
        return new ConfigResponse(result, last.active(), last.pending(), List.of());
    }

    private static long attemptTimeoutMillis(long deadlineNanos) {
        long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
        return Math.max(1, Math.min(ATTEMPT_TIMEOUT_MILLIS, remainingMillis));
    }

    /** Writes a new version that replaces {@code parent}; see {@link #submit} for the timeout. */
    public ConfigResponse write(
            String requestId,
            ConfigVersion parent,
            String author,
            String reason,
            ConfigDocument content,
            long timeoutMillis)
            throws InterruptedException {
        long createdAtMillis = System.currentTimeMillis();
        Command.Write write = new Command.Write(requestId, parent.number(), author, reason, createdAtMillis, content);
        return submit(new ClientRequest.Set(write), timeoutMillis);
    }

    /** Returns the formerly active versions from the first server that responds; empty if none does. */
    public Optional<ConfigResponse> history(long timeoutMillis) throws InterruptedException {
        OperatorRequestMessage message = OperatorRequestMessage.newBuilder()
                .setToken(TOKEN)
                .setHistory(true)
                .build();
        for (InetSocketAddress server : servers) {
            Optional<OperatorReplyMessage> reply =
                    exchange(server, message, Math.min(ATTEMPT_TIMEOUT_MILLIS, timeoutMillis));
            if (reply.isPresent()) {
                return Optional.of(decode(reply.get()));
            }
        }
        return Optional.empty();
    }

    /** Returns the status of one server; empty if it does not respond. */
    public Optional<ServerStatus> status(InetSocketAddress server) throws InterruptedException {
        OperatorRequestMessage message = OperatorRequestMessage.newBuilder()
                .setToken(TOKEN)
                .setStatus(true)
                .build();
        return exchange(server, message, ATTEMPT_TIMEOUT_MILLIS)
                .filter(OperatorReplyMessage::hasStatus)
                .map(reply -> decode(reply.getStatus()));
    }

    // ---- Messages ------------------------------------------------------------------------------------

    private static ServerStatus decode(ServerStatusMessage status) {
        Membership membership = LogCodec.decode(status.getMembership());
        return new ServerStatus(
                status.getName(),
                status.getRole(),
                status.getTerm(),
                status.getLeader(),
                status.getCommitIndex(),
                status.getLastIndex(),
                status.getRecovered(),
                status.getSuspectedLoss(),
                List.copyOf(membership.voters().values()),
                membership.learner(),
                status.getActiveVersion(),
                status.getPendingVersion(),
                status.getLeaseHolders(),
                status.getSubscribers(),
                status.getContradictionBoundMs(),
                status.getActivationBoundMs(),
                status.getStorageId());
    }

    private static ConfigResponse decode(OperatorReplyMessage reply) {
        return new ConfigResponse(
                reply.hasResult() ? ClientCodec.decode(reply.getResult()) : null,
                ConfigCodec.decode(reply.getActive()),
                reply.hasPending() ? ConfigCodec.decode(reply.getPending()) : null,
                reply.getHistoryList().stream().map(ConfigCodec::decode).toList());
    }

    /** Sends a message on a new connection and returns the reply; empty if none arrives in time. */
    private Optional<OperatorReplyMessage> exchange(
            InetSocketAddress server, OperatorRequestMessage message, long timeoutMillis) throws InterruptedException {
        CompletableFuture<Optional<OperatorReplyMessage>> reply = new CompletableFuture<>();
        ChannelFuture attempt = new Exchange(message, reply).dial(loop, tls, server, (int) timeoutMillis);
        attempt.addListener(connected -> {
            if (!connected.isSuccess()) {
                reply.complete(Optional.empty());
            }
        });
        try {
            return reply.get(timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException e) {
            return Optional.empty();
        } finally {
            attempt.channel().close();
        }
    }

    /** Stops the event loop; pending connections are closed. */
    @Override
    public void close() {
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** A connection for one request and its reply. */
    private final class Exchange extends FramedConnection {
        private final OperatorRequestMessage message;
        private final CompletableFuture<Optional<OperatorReplyMessage>> reply;

        Exchange(OperatorRequestMessage message, CompletableFuture<Optional<OperatorReplyMessage>> reply) {
            super(Set.of(PeerRole.CONFIG_SERVER), name, line -> {});
            this.message = message;
            this.reply = reply;
        }

        @Override
        protected void onReady() {
            send(Frame.newBuilder().setOperatorRequest(message).build());
        }

        @Override
        protected void onMessage(Frame frame) {
            if (frame.hasOperatorReply()) {
                reply.complete(Optional.of(frame.getOperatorReply()));
            }
        }

        @Override
        protected void onClosed() {
            reply.complete(Optional.empty());
        }
    }
}
