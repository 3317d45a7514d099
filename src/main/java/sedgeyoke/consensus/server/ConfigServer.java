package sedgeyoke.consensus.server;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import sedgeyoke.consensus.Action;
import sedgeyoke.consensus.ActionHandler;
import sedgeyoke.consensus.ConfigVersion;
import sedgeyoke.consensus.Event;
import sedgeyoke.consensus.RaftNode;
import sedgeyoke.consensus.SafetyRules;
import sedgeyoke.consensus.codec.ProtobufSnapshotCodec;
import sedgeyoke.consensus.storage.ReplicaStorage;
import sedgeyoke.settings.ConfigServerSettings;
import sedgeyoke.transport.FramedListener;
import sedgeyoke.transport.MutualTls;

/**
 * Runs a {@link RaftNode} on an event loop: passes it events from connections, a timer and the disk, and carries out
 * the actions that it returns. The node makes all decisions.
 */
public final class ConfigServer {
    private static final long TICK_MILLIS = 20;
    private static final long HEARTBEAT_MICROS = 1_000_000;

    private final ServerContext context;
    private final RaftNode node;
    private final PeerConnections peers;
    private final BalancerSubscriptions subscriptions;
    private final OperatorRequests operatorRequests;
    private final IncomingConnections incoming;
    private final PersistenceExecutor persistence;
    private final Consumer<String> onFailure;
    private final ActionHandler actionExecutor = new ActionExecutor();
    private long lastHeartbeatMicros;
    private boolean stopped;

    /**
     * What the process provides to the server.
     *
     * @param loop runs the Raft node and all connections
     * @param diskThread runs tasks one after the other on another thread, where they may block on the disk
     * @param clock monotonic, in microseconds
     * @param log receives each line of the log
     * @param onFailure called on the loop with the reason if the server cannot continue; the process must then exit
     */
    public record Host(
            EventLoop loop,
            Executor diskThread,
            LongSupplier clock,
            Consumer<String> log,
            Consumer<String> onFailure) {}

    /**
     * Creates the server; throws if the TLS files cannot be loaded.
     *
     * @param incarnation random id of this process, drawn when it started
     */
    public ConfigServer(
            Host host, ConfigServerSettings settings, SafetyRules rules, ReplicaStorage storage, long incarnation)
            throws IOException {
        Consumer<String> log = host.log();
        this.onFailure = host.onFailure();
        this.context = new ServerContext(host.loop(), settings, storage.storageId(), host.clock(), log, this::handle);
        MutualTls serverTls = MutualTls.forServer(settings.tls(), log);
        MutualTls clientTls = MutualTls.forClient(settings.tls(), log);
        SplittableRandom random = new SplittableRandom(incarnation);
        this.node = new RaftNode(
                new RaftNode.Identity(settings.name(), storage.storageId(), incarnation),
                rules,
                storage.recovered(),
                storage.founders(),
                new ProtobufSnapshotCodec(),
                random.split(),
                host.clock().getAsLong());
        this.peers = new PeerConnections(context, clientTls, random);
        this.subscriptions = new BalancerSubscriptions(context, node);
        this.operatorRequests = new OperatorRequests(context, node, rules.timing(), subscriptions);
        this.incoming = new IncomingConnections(context, serverTls, subscriptions, operatorRequests);
        this.persistence = new PersistenceExecutor(host.diskThread(), storage, context, this::fail);
    }

    /** Listens, connects to the other servers, and returns the bound address. Must not be called on the loop. */
    public InetSocketAddress start() {
        EventLoop loop = context.loop();
        InetSocketAddress address =
                FramedListener.listen(loop, context.settings().listen(), incoming::accept);
        loop.execute(peers::start);
        loop.scheduleWithFixedDelay(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
        return address;
    }

    /** Transfers the leadership to another server before the process ends. May be called on any thread. */
    public void transferLeadership() {
        context.loop().execute(() -> handle(new Event.TransferLeadership()));
    }

    private void tick() {
        subscriptions.submitLeaseRequests();
        handle(new Event.Tick());
        long nowMicros = context.clock().getAsLong();
        if (nowMicros - lastHeartbeatMicros >= HEARTBEAT_MICROS) {
            lastHeartbeatMicros = nowMicros;
            peers.sendHeartbeats();
            incoming.sendHeartbeats();
        }
    }

    private void handle(Event event) {
        if (stopped) {
            return;
        }
        try {
            for (Action action : node.handle(event, context.clock().getAsLong())) {
                action.deliver(actionExecutor);
            }
        } catch (RuntimeException e) { // the node's state may be inconsistent
            fail("the Raft node has failed: " + e + " at " + e.getStackTrace()[0]);
        }
    }

    private void fail(String reason) {
        stopped = true;
        persistence.stop();
        onFailure.accept(reason);
    }

    /** Carries out the actions of the Raft node. */
    private final class ActionExecutor implements ActionHandler {
        @Override
        public void handle(Action.Send send) {
            peers.send(send.to(), send.message());
        }

        @Override
        public void handle(Action.Persist persist) {
            persistence.submit(persist);
        }

        @Override
        public void handle(Action.Respond respond) {
            operatorRequests.complete(respond.token(), respond.result());
        }

        @Override
        public void handle(Action.SendLease sendLease) {
            subscriptions.send(sendLease.response());
        }

        @Override
        public void handle(Action.ConfigChanged changed) {
            ConfigVersion newest = changed.pending() == null ? changed.active() : changed.pending();
            subscriptions.notifyConfigChanged(newest.number());
        }

        @Override
        public void handle(Action.Log log) {
            context.log().accept("config server " + context.settings().name() + " " + log.line());
        }
    }
}
