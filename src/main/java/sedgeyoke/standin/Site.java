package sedgeyoke.standin;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import sedgeyoke.model.IdempotencyKeyCache;
import sedgeyoke.model.InvariantChecker;
import sedgeyoke.model.RequestClassModel;
import sedgeyoke.model.SiteModel;

/** A site on loopback without its balancers: discovery, order nodes and clients on one event loop. */
public final class Site implements AutoCloseable {
    private static final long EXCESS_BUDGET_MILLIS = 1_000;

    private final SiteModel spec;
    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final InvariantChecker checker;
    private final DiscoveryStandin discovery;
    private final Clients clients;
    private final Map<String, OrderNode> nodesById = new HashMap<>();
    private final List<OrderNode> nodes = new ArrayList<>();
    private final long startMicros = System.currentTimeMillis() * 1_000;
    private final long startNanos = System.nanoTime();

    /** Starts the nodes; {@code zoneShares} are the zones' shares of the traffic. */
    public Site(SiteModel spec, double[] zoneShares, long seed) {
        this.spec = spec;
        this.checker = new InvariantChecker(spec);
        this.discovery = new DiscoveryStandin(loop, this::now, checker, spec);
        this.clients = new Clients(spec, loop, this::now, checker, zoneShares, seed);
        List<IdempotencyKeyCache> executedKeys =
                spec.zones().stream().map(zone -> new IdempotencyKeyCache()).toList();
        for (SiteModel.NodeSpec nodeSpec : spec.nodes()) {
            OrderNode node =
                    new OrderNode(nodeSpec, spec, loop, this::now, checker, executedKeys.get(nodeSpec.zone()), seed);
            node.start();
            nodesById.put(nodeSpec.id(), node);
            nodes.add(node);
        }
        loop.scheduleAtFixedRate(
                () -> checker.checkForStall(now()),
                InvariantChecker.STALL_CHECK_INTERVAL_MICROS,
                InvariantChecker.STALL_CHECK_INTERVAL_MICROS,
                TimeUnit.MICROSECONDS);
        nodes.forEach(node -> run(() -> discovery.setPhase(node, DiscoveryStandin.UP)));
    }

    /** Microseconds since the epoch: the wall clock at the start, advanced by the monotonic clock. */
    public long now() {
        return startMicros + (System.nanoTime() - startNanos) / 1_000;
    }

    /** The event loop of all stand-ins. */
    public EventLoop loop() {
        return loop;
    }

    /** Runs an action on the loop and waits for it. */
    public void run(Runnable action) {
        loop.submit(action).syncUninterruptibly();
    }

    /** Computes a value on the loop. */
    public <T> T ask(Callable<T> query) {
        return loop.submit(query).syncUninterruptibly().getNow();
    }

    /** Adds a discovery agent that learns of changes after a delay, for a balancer; returns the agent's address. */
    public String discoveryFor(String balancer, long delayMs) {
        return discovery.agent(balancer, delayMs);
    }

    /** Adds a further agent of a balancer, under its own name, and returns the agent's address. */
    public String furtherDiscoveryFor(String name, String balancer, long delayMs) {
        return discovery.agent(name, balancer, delayMs);
    }

    /** Makes balancers poll a shared service; a change counts as known to them after this time at the latest. */
    public void setPollPropagation(long millis) {
        run(() -> discovery.setPollPropagation(millis));
    }

    /** Gives the next responses of an agent these faults, in this order. */
    public void failDiscoveryAnswers(String agent, List<AnswerFault> faults) {
        run(() -> discovery.failAnswers(agent, faults));
    }

    /** While silent, discovery agents neither respond nor learn of changes. */
    public void setDiscoverySilent(boolean silent) {
        run(() -> discovery.setSilent(silent));
    }

    /** The complete endpoint list at discovery's latest revision. */
    public String endpointList() {
        return ask(discovery::completeList);
    }

    /** Opens new connections of clients to a balancer from now on. */
    public void startConnectingTo(String balancer) {
        run(() -> clients.startConnectingTo(balancer));
    }

    /** Opens no new connections of clients to a balancer from now on; those that are open are used. */
    public void stopConnectingTo(String balancer) {
        run(() -> clients.stopConnectingTo(balancer));
    }

    /** Sets the share of the requests whose client disconnects before the response. */
    public void setDisconnectShare(double share) {
        run(() -> clients.behavior().setDisconnectShare(share));
    }

    /** Plants a mistake that the checker must detect: clients that disconnect early send their request afterwards. */
    public void plantRequestsAfterDisconnect() {
        run(() -> clients.behavior().sendAfterDisconnect());
    }

    /** Plants a mistake that the checker must detect: clients announce a longer budget than they have. */
    public void plantExcessiveBudgets() {
        run(() -> clients.behavior().setExcessBudgetMillis(EXCESS_BUDGET_MILLIS));
    }

    /** Adds a balancer to those that clients of a zone send requests to. */
    public void balancer(String name, int zone, InetSocketAddress address) {
        run(() -> clients.addBalancer(name, zone, address));
    }

    /** Starts the traffic. */
    public void startClients(double requestsPerSecond) {
        run(() -> clients.start(requestsPerSecond));
    }

    /** Ends the traffic and waits until every request has a response or has timed out. */
    public void stopClients() throws InterruptedException {
        run(clients::stop);
        long longest = spec.classes().stream()
                .mapToLong(RequestClassModel::clientTimeoutMs)
                .max()
                .orElse(0);
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(longest + 2_000);
        while (System.nanoTime() < end && ask(checker::pendingRequests) > 0) {
            Thread.sleep(20);
        }
    }

    /** Sets a zone's share of the traffic. */
    public void setZoneShare(int zone, double share) {
        run(() -> clients.setZoneShare(zone, share));
    }

    /**
     * Core time that all nodes have used since their start, in microseconds. Its growth as a share of the time of all
     * cores is the true utilisation, which differs from the offered load because of warm keys and slow starts.
     */
    public long busyCoreMicros() {
        return ask(() ->
                nodes.stream().mapToLong(node -> node.model().busyCoreMicros()).sum());
    }

    /** True utilisation since {@link #busyCoreMicros} and {@link #now} returned these values. */
    public double utilisationSince(long earlierBusyMicros, long earlierMicros) {
        int cores = spec.nodes().stream().mapToInt(SiteModel.NodeSpec::cores).sum();
        return (busyCoreMicros() - earlierBusyMicros) / (double) Math.max(1, (now() - earlierMicros) * cores);
    }

    /** The model of the site: its zones, nodes, request classes and rules. */
    public SiteModel spec() {
        return spec;
    }

    /** The order nodes; query them through {@link #ask}. */
    public List<OrderNode> nodes() {
        return nodes;
    }

    /** What clients, nodes and discovery observed; query it through {@link #ask}. */
    public InvariantChecker checker() {
        return checker;
    }

    /** Faults that can be injected into a node. */
    public enum Fault {
        /** It stops responding, and discovery still lists it as up. */
        UNRESPONSIVE,
        /** It restarts at the same address and has to warm up again. */
        RESTART,
        /** It drains, and discovery lists it as draining. */
        DRAIN,
        /** It stops, and discovery lists it as removed. */
        REMOVE,
        /** It resets all of its connections and continues to serve. */
        RESET_CONNECTIONS
    }

    /** Injects a fault into a node and updates discovery as the platform would. */
    public void injectFault(String id, Fault fault) {
        OrderNode node = nodesById.get(id);
        run(() -> {
            switch (fault) {
                case UNRESPONSIVE -> node.stopResponding();
                case RESTART -> {
                    node.restart();
                    discovery.setPhase(node, DiscoveryStandin.UP);
                }
                case DRAIN -> {
                    node.drain();
                    discovery.setPhase(node, DiscoveryStandin.DRAINING);
                }
                case REMOVE -> {
                    node.stopResponding();
                    discovery.setPhase(node, DiscoveryStandin.REMOVED);
                }
                case RESET_CONNECTIONS -> node.resetConnections();
                default -> throw new IllegalArgumentException(fault.toString());
            }
        });
    }

    /** While down, discovery closes all connections and fails every call. */
    public void setDiscoveryDown(boolean down) {
        run(() -> discovery.setDown(down));
    }

    /** The metrics so far. */
    public InvariantChecker.Summary summary() {
        return ask(checker::summary);
    }

    @Override
    public void close() {
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
