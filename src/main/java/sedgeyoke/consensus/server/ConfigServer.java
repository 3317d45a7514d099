package sedgeyoke.consensus.server;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import sedgeyoke.consensus.Action;
import sedgeyoke.consensus.ClientRequest;
import sedgeyoke.consensus.ConfigVersion;
import sedgeyoke.consensus.Event;
import sedgeyoke.consensus.LeaseRequest;
import sedgeyoke.consensus.LeaseResponse;
import sedgeyoke.consensus.RaftMessage;
import sedgeyoke.consensus.RaftNode;
import sedgeyoke.consensus.RequestResult;
import sedgeyoke.consensus.SafetyRules;
import sedgeyoke.consensus.codec.ConsensusCodec;
import sedgeyoke.consensus.storage.ReplicaStorage;
import sedgeyoke.settings.ConfigServerSettings;
import sedgeyoke.store.DiskException;
import sedgeyoke.transport.FramedConnection;
import sedgeyoke.transport.InvalidMessageException;
import sedgeyoke.transport.MutualTls;
import sedgeyoke.transport.proto.Frame;
import sedgeyoke.transport.proto.KeeperMessage;
import sedgeyoke.transport.proto.LeaseReply;
import sedgeyoke.transport.proto.NewsMessage;
import sedgeyoke.transport.proto.OperatorAsk;
import sedgeyoke.transport.proto.OperatorReply;
import sedgeyoke.transport.proto.StatusMessage;

/**
 * A keeper on sockets and a disk. The keeper and all connections are on one loop; the disk is on a thread of its own,
 * since it may stall, and the loop has to go on hearing and saying what waits for no disk. It decides nothing.
 */
public final class ConfigServer {
    private static final int SPARE = 32;
    private static final long TICK_MS = 20;
    private static final long LEAST_PAUSE_MS = 100;
    private static final long LONGEST_PAUSE_MS = 1_000;
    private static final long MOST_WAITING = 1_000;
    /** An answer is held back no longer than that for the version that it names. */
    private static final long ANSWER_WITHIN = 3_000_000;

    private static final long ALIVE_EVERY = 1_000_000;
    private static final Frame ALIVE =
            Frame.newBuilder().setNews(NewsMessage.newBuilder()).build();

    private final EventLoop loop;
    private final Executor disk;
    private final ConfigServerSettings settings;
    private final ReplicaStorage folder;
    private final LongSupplier clock;
    private final Consumer<String> log;
    private final Consumer<String> fatal;
    private final SafetyRules rules;
    private final MutualTls server;
    private final MutualTls client;
    private final RaftNode keeper;
    private final SplittableRandom random;
    private final Map<String, Other> others = new HashMap<>();
    private final Map<String, Incoming> followers = new HashMap<>();
    private final Map<Long, Asked> asked = new TreeMap<>();
    private final List<LeaseRequest> asks = new ArrayList<>();
    private final Set<Incoming> incoming = new HashSet<>();
    private long tokens;
    private long aliveAt;
    private volatile boolean stopped;

    /** Who waits for what: an answer goes out once the version that it names is known here, if that is soon. */
    private record Asked(Incoming from, long token, long until) {}

    /**
     * Throws if the TLS files are no good.
     *
     * @param disk runs one thing after the other, on a thread of its own
     * @param fatal is told of a disk that has failed: the process is to end, as nothing is known of what is on it
     */
    public ConfigServer(
            EventLoop loop,
            Executor disk,
            ConfigServerSettings settings,
            SafetyRules rules,
            ReplicaStorage folder,
            long run,
            LongSupplier clock,
            Consumer<String> log,
            Consumer<String> fatal)
            throws IOException {
        this.loop = loop;
        this.disk = disk;
        this.settings = settings;
        this.folder = folder;
        this.clock = clock;
        this.log = log;
        this.fatal = fatal;
        this.rules = rules;
        this.server = new MutualTls(settings.tls(), true, log);
        this.client = new MutualTls(settings.tls(), false, log);
        this.random = new SplittableRandom(run);
        this.keeper = new RaftNode(
                new RaftNode.Identity(settings.name(), folder.storageId(), run),
                rules,
                folder.recovered(),
                folder.founders(),
                new ConsensusCodec(),
                random.split(),
                clock.getAsLong());
        settings.servers().forEach((name, address) -> {
            if (!name.equals(settings.name())) {
                others.put(name, new Other(name, address));
            }
        });
    }

    /** Listens and begins; returns the address. Not to be called on the loop. */
    public InetSocketAddress start() {
        InetSocketAddress address = FramedConnection.listen(loop, settings.listen(), this::accept);
        loop.execute(() -> others.values().forEach(Other::connect));
        loop.scheduleWithFixedDelay(this::tick, 0, TICK_MS, TimeUnit.MILLISECONDS);
        return address;
    }

    /** The process is about to end: if it leads, another one is to. May be called on any thread. */
    public void leave() {
        loop.execute(() -> on(new Event.TransferLeadership()));
    }

    private void accept(Channel ch) {
        if (incoming.size() >= settings.maxSubscribers() + settings.servers().size() + SPARE) {
            ch.close();
            return;
        }
        Incoming from = new Incoming();
        incoming.add(from);
        ch.closeFuture().addListener(closed -> incoming.remove(from));
        from.install(ch, server.handler(ch));
    }

    private void tick() {
        if (!asks.isEmpty()) { // those of one tick go together
            List<LeaseRequest> all = List.copyOf(asks);
            asks.clear();
            on(new Event.LeasesRequested(all));
        }
        on(new Event.Tick());
        long now = clock.getAsLong();
        if (now - aliveAt >= ALIVE_EVERY) { // connections on which nothing comes are taken for dead
            aliveAt = now;
            others.values().forEach(o -> {
                if (o.connection != null && o.connection.peer() != null) {
                    o.connection.send(ALIVE);
                }
            });
            incoming.forEach(i -> {
                if (i.peer() != null && i.role() == MutualTls.Role.KEEPER) {
                    i.send(ALIVE);
                }
            });
        }
    }

    // ---- The keeper's actions ------------------------------------------------------------------------

    private void on(Event event) {
        if (stopped) {
            return;
        }
        try {
            for (Action action : keeper.handle(event, clock.getAsLong())) {
                carryOut(action);
            }
        } catch (RuntimeException e) { // it would go on with half of a step taken
            stop("the keeper has failed: " + e + " at " + e.getStackTrace()[0]);
        }
    }

    private void stop(String why) {
        stopped = true;
        fatal.accept(why);
    }

    private void carryOut(Action action) {
        if (action instanceof Action.Send s) {
            Other other = others.get(s.to());
            if (other != null) {
                other.send(s.message());
            }
        } else if (action instanceof Action.Persist p) {
            disk.execute(() -> persist(p));
        } else if (action instanceof Action.Respond a) {
            Asked waiting = asked.remove(a.token());
            if (waiting != null) {
                answer(waiting, a.result());
            }
        } else if (action instanceof Action.SendLease g) {
            Incoming follower = followers.get(g.response().balancer());
            if (follower != null) {
                follower.granted(g.response());
            }
        } else if (action instanceof Action.ConfigChanged n) {
            long newest =
                    n.pending() == null ? n.active().number() : n.pending().number();
            Frame news = Frame.newBuilder()
                    .setNews(NewsMessage.newBuilder().setNewest(newest))
                    .build();
            followers.values().forEach(f -> f.send(news));
        } else if (action instanceof Action.Log s) {
            log.accept("keeper " + settings.name() + " " + s.line());
        }
    }

    private void persist(Action.Persist p) {
        if (stopped) {
            return;
        }
        try {
            folder.persist(p);
            loop.execute(() -> on(new Event.Persisted(p.token())));
        } catch (DiskException | RuntimeException e) {
            loop.execute(() -> stop("the disk has failed (" + e.getMessage() + "): what is on it is not known; mend it"
                    + " and start again"));
        }
    }

    private ConfigVersion version(long number) {
        if (keeper.active().number() == number) {
            return keeper.active();
        } else if (keeper.pending() != null && keeper.pending().number() == number) {
            return keeper.pending();
        }
        return keeper.history().stream()
                .filter(v -> v.number() == number)
                .findFirst()
                .orElse(null);
    }

    // ---- Operators -----------------------------------------------------------------------------------

    private void answer(Asked waiting, RequestResult outcome) {
        long known = keeper.pending() == null
                ? keeper.active().number()
                : keeper.pending().number();
        boolean behind = outcome.kind() == RequestResult.Kind.DONE && known < outcome.version();
        if (behind && clock.getAsLong() < waiting.until()) { // decided elsewhere; it is on its way
            loop.schedule(() -> answer(waiting, outcome), TICK_MS, TimeUnit.MILLISECONDS);
            return;
        }
        OperatorReply.Builder reply = reply(waiting.token())
                .setOutcome(ConsensusCodec.of(
                        behind
                                ? new RequestResult(
                                        RequestResult.Kind.UNKNOWN, known, "this keeper does not hear what was decided")
                                : outcome));
        waiting.from().send(Frame.newBuilder().setOperatorReply(reply).build());
    }

    private OperatorReply.Builder reply(long token) {
        OperatorReply.Builder reply =
                OperatorReply.newBuilder().setToken(token).setActive(ConsensusCodec.of(keeper.active()));
        if (keeper.pending() != null) {
            reply.setPending(ConsensusCodec.of(keeper.pending()));
        }
        return reply;
    }

    private StatusMessage status() {
        return StatusMessage.newBuilder()
                .setName(settings.name())
                .setRole(keeper.role().name().toLowerCase())
                .setTerm(keeper.term())
                .setLeader(keeper.leader() == null ? "" : keeper.leader())
                .setCommit(keeper.commitIndex())
                .setLast(keeper.lastIndex())
                .setSound(keeper.isRecovered())
                .setDoubt(keeper.suspectedLoss() == null ? "" : keeper.suspectedLoss())
                .setMembers(ConsensusCodec.of(keeper.membership()))
                .setActive(keeper.active().number())
                .setPending(keeper.pending() == null ? 0 : keeper.pending().number())
                .setHolders(keeper.leaseHolders())
                .setLeaseMs(settings.leaseMs())
                .setFolder(folder.storageId())
                .setFollowers(followers.size())
                .setContradictionBoundMs((rules.timing().contradictionBoundMicros() + 999) / 1_000)
                .setHoldsWithinMs((rules.timing().activationBoundMicros() + 999) / 1_000)
                .build();
    }

    // ---- Connections ---------------------------------------------------------------------------------

    /** The way to another keeper: what goes there goes by it alone, so that it comes in the order in which it went. */
    private final class Other {
        private final String name;
        private final InetSocketAddress address;
        private Outgoing connection;
        private long pauseMs = LEAST_PAUSE_MS;

        Other(String name, InetSocketAddress address) {
            this.name = name;
            this.address = address;
        }

        void send(RaftMessage message) {
            if (connection != null && connection.peer() != null) {
                connection.send(Frame.newBuilder()
                        .setKeeper(ConsensusCodec.of(folder.storageId(), message))
                        .build());
            }
        }

        void connect() {
            Outgoing next = new Outgoing(this);
            next.dial(loop, client, address, connected -> {
                if (connected) {
                    connection = next;
                } else {
                    again();
                }
            });
        }

        void again() {
            connection = null;
            long pause = pauseMs / 2 + random.nextLong(pauseMs);
            pauseMs = Math.min(LONGEST_PAUSE_MS, 2 * pauseMs);
            loop.schedule(this::connect, pause, TimeUnit.MILLISECONDS);
        }
    }

    /** A connection that this keeper has made to another one. */
    private final class Outgoing extends FramedConnection {
        private final Other to;

        Outgoing(Other to) {
            super(Set.of(MutualTls.Role.KEEPER), settings.name(), log);
            this.to = to;
        }

        @Override
        protected void ready() {
            if (!to.name.equals(peer())) {
                close("is " + peer() + " and should be " + to.name);
                return;
            }
            to.pauseMs = LEAST_PAUSE_MS;
        }

        @Override
        protected void message(Frame frame) throws InvalidMessageException {
            if (frame.hasKeeper()) {
                heard(peer(), frame.getKeeper());
            } else if (!frame.hasNews()) {
                close("sends what no keeper says");
            }
        }

        @Override
        protected void gone() {
            if (to.connection == this || to.connection == null) {
                to.again();
            }
        }
    }

    private void heard(String from, KeeperMessage message) throws InvalidMessageException {
        on(new Event.Received(from, message.getFolder(), ConsensusCodec.message(message)));
    }

    /** A connection from another keeper, a balancer or an operator. */
    private final class Incoming extends FramedConnection {
        private LeaseRequest open;

        Incoming() {
            super(
                    Set.of(MutualTls.Role.KEEPER, MutualTls.Role.FORWARDER, MutualTls.Role.OPERATOR),
                    settings.name(),
                    log);
        }

        @Override
        protected void ready() {
            if (role() == MutualTls.Role.FORWARDER) {
                Incoming before = followers.put(peer(), this);
                if (before != null && before != this) {
                    before.close("it has connected anew");
                }
            }
        }

        @Override
        protected void message(Frame frame) throws InvalidMessageException, InvalidProtocolBufferException {
            if (frame.hasKeeper() && role() == MutualTls.Role.KEEPER) {
                heard(peer(), frame.getKeeper());
            } else if (frame.hasNews() && role() == MutualTls.Role.KEEPER) {
                return; // it lives
            } else if (frame.hasLeaseAsk() && role() == MutualTls.Role.FORWARDER) {
                LeaseRequest ask = ConsensusCodec.ask(frame.getLeaseAsk());
                if (!ask.balancer().equals(peer())) {
                    close("asks for " + ask.balancer());
                    return;
                }
                asks.removeIf(a -> a.balancer().equals(peer())); // a newer one stands for it
                asks.add(ask);
                open = ask;
            } else if (frame.hasOperatorAsk() && role() == MutualTls.Role.OPERATOR) {
                operator(frame.getOperatorAsk());
            } else {
                close("sends what a " + role().unit() + " does not");
            }
        }

        private void operator(OperatorAsk ask) throws InvalidMessageException {
            if (ask.getBodyCase() == OperatorAsk.BodyCase.STATUS) {
                send(Frame.newBuilder()
                        .setOperatorReply(reply(ask.getToken()).setStatus(status()))
                        .build());
            } else if (ask.getBodyCase() == OperatorAsk.BodyCase.HISTORY) {
                OperatorReply.Builder reply = reply(ask.getToken());
                keeper.history().forEach(v -> reply.addHistory(ConsensusCodec.of(v)));
                send(Frame.newBuilder().setOperatorReply(reply).build());
            } else if (asked.size() >= MOST_WAITING) {
                send(Frame.newBuilder()
                        .setOperatorReply(reply(ask.getToken())
                                .setOutcome(ConsensusCodec.of(
                                        new RequestResult(RequestResult.Kind.BUSY, 0, "too many requests wait"))))
                        .build());
            } else {
                ClientRequest request = ConsensusCodec.request(ask.getRequest());
                long token = ++tokens;
                asked.put(token, new Asked(this, ask.getToken(), clock.getAsLong() + ANSWER_WITHIN));
                on(new Event.RequestReceived(token, request));
            }
        }

        /** Tells what was granted, with the versions that the asker does not hold. */
        void granted(LeaseResponse grant) {
            long holds = open == null ? 0 : open.heldVersion();
            ConfigVersion active = version(grant.activeVersion());
            ConfigVersion pending = grant.pendingVersion() == 0 ? null : version(grant.pendingVersion());
            if (active == null || grant.pendingVersion() != 0 && pending == null) {
                return; // not known here yet; the balancer asks again
            }
            LeaseReply.Builder reply = LeaseReply.newBuilder().setGrant(ConsensusCodec.of(grant));
            if (holds < active.number() || pending != null && holds < pending.number()) {
                reply.setActive(ConsensusCodec.of(active));
                if (pending != null) {
                    reply.setPending(ConsensusCodec.of(pending));
                }
            }
            send(Frame.newBuilder().setLeaseReply(reply).build());
        }

        @Override
        protected void gone() {
            if (peer() != null) {
                followers.remove(peer(), this);
            }
        }
    }
}
