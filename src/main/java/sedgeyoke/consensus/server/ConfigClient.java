package sedgeyoke.consensus.server;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import sedgeyoke.consensus.ClientRequest;
import sedgeyoke.consensus.Command;
import sedgeyoke.consensus.ConfigDocument;
import sedgeyoke.consensus.ConfigVersion;
import sedgeyoke.consensus.Member;
import sedgeyoke.consensus.Membership;
import sedgeyoke.consensus.RequestResult;
import sedgeyoke.consensus.codec.ConsensusCodec;
import sedgeyoke.settings.TlsFiles;
import sedgeyoke.transport.FramedConnection;
import sedgeyoke.transport.MutualTls;
import sedgeyoke.transport.proto.Frame;
import sedgeyoke.transport.proto.OperatorAsk;
import sedgeyoke.transport.proto.OperatorReply;
import sedgeyoke.transport.proto.StatusMessage;

/**
 * Operators' way to the keepers. It asks one after the other until one knows, and says so where nobody does: what was
 * written and not answered may be done, and is asked for again under the same number.
 */
public final class ConfigClient implements AutoCloseable {
    private static final long ONE_MS = 1_500;
    private static final long PAUSE_MS = 100;

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final List<InetSocketAddress> keepers;
    private final String name;
    private final MutualTls tls;
    private int next;

    /** What became of a request, with the versions that the keeper who answered knew. */
    public record Answer(
            RequestResult outcome, ConfigVersion active, ConfigVersion pending, List<ConfigVersion> history) {
        /** The newest of them. */
        public ConfigVersion newest() {
            return pending == null ? active : pending;
        }
    }

    /** What a keeper says of itself. */
    public record Status(
            String name,
            String role,
            long term,
            String leader,
            long commit,
            long last,
            boolean sound,
            String doubt,
            List<Member> voters,
            Member learner,
            long active,
            long pending,
            int holders,
            int followers,
            long contradictionBoundMs,
            long holdsWithinMs,
            long folder) {}

    /** Throws if the TLS files are no good. {@code name}: as in the operator's certificate. */
    public ConfigClient(List<InetSocketAddress> keepers, String name, TlsFiles files) throws IOException {
        this.keepers = List.copyOf(keepers);
        this.name = name;
        this.tls = new MutualTls(files, false, line -> {});
    }

    /** Asks until somebody knows, for so long at the most. */
    public Answer ask(ClientRequest request, long withinMs) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(withinMs);
        boolean mayBeDone = false;
        Answer last = null;
        while (System.nanoTime() < end) {
            OperatorReply reply = once(
                    keepers.get(next),
                    OperatorAsk.newBuilder()
                            .setToken(1)
                            .setRequest(ConsensusCodec.of(request))
                            .build(),
                    left(end));
            if (reply != null && reply.hasOutcome()) {
                last = answer(reply);
                RequestResult.Kind kind = last.outcome().kind();
                mayBeDone |= kind == RequestResult.Kind.UNKNOWN;
                if (kind == RequestResult.Kind.DONE
                        || kind == RequestResult.Kind.CONFLICT
                        || kind == RequestResult.Kind.REFUSED) {
                    return last;
                }
            } else {
                mayBeDone |= !(request instanceof ClientRequest.Read);
            }
            next = (next + 1) % keepers.size();
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
        }
        RequestResult none = new RequestResult(
                mayBeDone ? RequestResult.Kind.UNKNOWN : RequestResult.Kind.NO_LEADER,
                0,
                last == null ? "no keeper has answered" : last.outcome().detail());
        return new Answer(
                none,
                last == null ? ConfigVersion.NONE : last.active(),
                last == null ? null : last.pending(),
                List.of());
    }

    /** Sets a new version made from one that was read. */
    public Answer set(
            String request, ConfigVersion from, String author, String reason, ConfigDocument content, long withinMs)
            throws InterruptedException {
        return ask(
                new ClientRequest.Set(
                        new Command.Write(request, from.number(), author, reason, System.currentTimeMillis(), content)),
                withinMs);
    }

    /** The versions before the present one, by any keeper that answers; null if none does. */
    public Answer history(long withinMs) throws InterruptedException {
        for (InetSocketAddress keeper : keepers) {
            OperatorReply reply = once(
                    keeper,
                    OperatorAsk.newBuilder().setToken(1).setHistory(true).build(),
                    Math.min(ONE_MS, withinMs));
            if (reply != null) {
                return answer(reply);
            }
        }
        return null;
    }

    /** What one keeper says of itself; null if it says nothing. */
    public Status status(InetSocketAddress keeper) throws InterruptedException {
        OperatorReply reply = once(
                keeper, OperatorAsk.newBuilder().setToken(1).setStatus(true).build(), ONE_MS);
        if (reply == null || !reply.hasStatus()) {
            return null;
        }
        StatusMessage s = reply.getStatus();
        Membership members = ConsensusCodec.members(s.getMembers());
        return new Status(
                s.getName(),
                s.getRole(),
                s.getTerm(),
                s.getLeader(),
                s.getCommit(),
                s.getLast(),
                s.getSound(),
                s.getDoubt(),
                List.copyOf(members.voters().values()),
                members.learner(),
                s.getActive(),
                s.getPending(),
                s.getHolders(),
                s.getFollowers(),
                s.getContradictionBoundMs(),
                s.getHoldsWithinMs(),
                s.getFolder());
    }

    private static long left(long end) {
        return Math.max(1, Math.min(ONE_MS, TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime())));
    }

    private static Answer answer(OperatorReply r) {
        return new Answer(
                r.hasOutcome() ? ConsensusCodec.outcome(r.getOutcome()) : null,
                ConsensusCodec.version(r.getActive()),
                r.hasPending() ? ConsensusCodec.version(r.getPending()) : null,
                r.getHistoryList().stream().map(ConsensusCodec::version).toList());
    }

    private OperatorReply once(InetSocketAddress keeper, OperatorAsk ask, long withinMs) throws InterruptedException {
        CompletableFuture<OperatorReply> reply = new CompletableFuture<>();
        Connection connection = new Connection(ask, reply);
        ChannelFuture connecting = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) withinMs)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        connection.install(ch, tls.handler(ch));
                    }
                })
                .connect(keeper);
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                reply.complete(null);
            }
        });
        try {
            return reply.get(withinMs, TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException e) {
            return null;
        } finally {
            connecting.channel().close();
        }
    }

    @Override
    public void close() {
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** One question. */
    private final class Connection extends FramedConnection {
        private final OperatorAsk ask;
        private final CompletableFuture<OperatorReply> reply;

        Connection(OperatorAsk ask, CompletableFuture<OperatorReply> reply) {
            super(Set.of(MutualTls.Role.KEEPER), name, line -> {});
            this.ask = ask;
            this.reply = reply;
        }

        @Override
        protected void ready() {
            send(Frame.newBuilder().setOperatorAsk(ask).build());
        }

        @Override
        protected void message(Frame frame) {
            if (frame.hasOperatorReply()) {
                reply.complete(frame.getOperatorReply());
            }
        }

        @Override
        protected void gone() {
            reply.complete(null);
        }
    }
}
