package sedgeyoke.link;

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
import sedgeyoke.agree.Command;
import sedgeyoke.agree.Member;
import sedgeyoke.agree.Outcome;
import sedgeyoke.agree.Request;
import sedgeyoke.agree.Version;
import sedgeyoke.link.proto.Frame;
import sedgeyoke.link.proto.OperatorAsk;
import sedgeyoke.link.proto.OperatorReply;
import sedgeyoke.link.proto.StatusMessage;
import sedgeyoke.operator.TlsFiles;

/**
 * Operators' way to the keepers. It asks one after the other until one knows, and says so where nobody does: what was
 * written and not answered may be done, and is asked for again under the same number.
 */
public final class KeeperClient implements AutoCloseable {
    private static final long ONE_MS = 1_500;
    private static final long PAUSE_MS = 100;

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final List<InetSocketAddress> keepers;
    private final String name;
    private final Tls tls;
    private int next;

    /** What became of a request, with the versions that the keeper who answered knew. */
    public record Answer(Outcome outcome, Version active, Version pending, List<Version> history) {
        /** The newest of them. */
        public Version newest() {
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
    public KeeperClient(List<InetSocketAddress> keepers, String name, TlsFiles files) throws IOException {
        this.keepers = List.copyOf(keepers);
        this.name = name;
        this.tls = new Tls(files, false, line -> {});
    }

    /** Asks until somebody knows, for so long at the most. */
    public Answer ask(Request request, long withinMs) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(withinMs);
        boolean mayBeDone = false;
        Answer last = null;
        while (System.nanoTime() < end) {
            OperatorReply reply = once(
                    keepers.get(next),
                    OperatorAsk.newBuilder()
                            .setToken(1)
                            .setRequest(AgreeCodec.of(request))
                            .build(),
                    left(end));
            if (reply != null && reply.hasOutcome()) {
                last = answer(reply);
                Outcome.Kind kind = last.outcome().kind();
                mayBeDone |= kind == Outcome.Kind.UNKNOWN;
                if (kind == Outcome.Kind.DONE || kind == Outcome.Kind.CONFLICT || kind == Outcome.Kind.REFUSED) {
                    return last;
                }
            } else {
                mayBeDone |= !(request instanceof Request.Read);
            }
            next = (next + 1) % keepers.size();
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
        }
        Outcome none = new Outcome(
                mayBeDone ? Outcome.Kind.UNKNOWN : Outcome.Kind.NO_LEADER,
                0,
                last == null ? "no keeper has answered" : last.outcome().text());
        return new Answer(
                none, last == null ? Version.NONE : last.active(), last == null ? null : last.pending(), List.of());
    }

    /** Sets a new version made from one that was read. */
    public Answer set(
            String request, Version from, String author, String reason, sedgeyoke.agree.Document content, long withinMs)
            throws InterruptedException {
        return ask(
                new Request.Set(
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
        sedgeyoke.agree.Members members = AgreeCodec.members(s.getMembers());
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
                r.hasOutcome() ? AgreeCodec.outcome(r.getOutcome()) : null,
                AgreeCodec.version(r.getActive()),
                r.hasPending() ? AgreeCodec.version(r.getPending()) : null,
                r.getHistoryList().stream().map(AgreeCodec::version).toList());
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
    private final class Connection extends Peers {
        private final OperatorAsk ask;
        private final CompletableFuture<OperatorReply> reply;

        Connection(OperatorAsk ask, CompletableFuture<OperatorReply> reply) {
            super(Set.of(Tls.Role.KEEPER), name, line -> {});
            this.ask = ask;
            this.reply = reply;
        }

        @Override
        void ready() {
            send(Frame.newBuilder().setOperatorAsk(ask).build());
        }

        @Override
        void message(Frame frame) {
            if (frame.hasOperatorReply()) {
                reply.complete(frame.getOperatorReply());
            }
        }

        @Override
        void gone() {
            reply.complete(null);
        }
    }
}
