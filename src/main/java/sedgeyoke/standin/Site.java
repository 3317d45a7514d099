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

/** A whole site on loopback, balancers apart: discovery, order nodes and clients on one event loop. */
public final class Site implements AutoCloseable {
    private final SiteModel spec;
    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final InvariantChecker checker;
    private final DiscoveryStandin discovery;
    private final Clients clients;
    private final Map<String, OrderNode> nodes = new HashMap<>();
    private final List<OrderNode> inOrder = new ArrayList<>();
    private final long startedAt = System.currentTimeMillis() * 1_000;
    private final long startedNanos = System.nanoTime();

    /** Starts the nodes; {@code zoneShare} is each zone's part of the traffic. */
    public Site(SiteModel spec, double[] zoneShare, long seed) {
        this.spec = spec;
        this.checker = new InvariantChecker(spec);
        this.discovery = new DiscoveryStandin(loop, this::now, checker, spec);
        this.clients = new Clients(spec, loop, this::now, checker, zoneShare, seed);
        List<IdempotencyKeyCache> memories =
                spec.zones().stream().map(z -> new IdempotencyKeyCache()).toList();
        for (SiteModel.NodeSpec n : spec.nodes()) {
            OrderNode node = new OrderNode(n, spec, loop, this::now, checker, memories.get(n.zone()), seed);
            node.start();
            nodes.put(n.id(), node);
            inOrder.add(node);
        }
        loop.scheduleAtFixedRate(
                () -> checker.checkForStall(now()),
                InvariantChecker.STALL_CHECK_INTERVAL_MICROS,
                InvariantChecker.STALL_CHECK_INTERVAL_MICROS,
                TimeUnit.MICROSECONDS);
        inOrder.forEach(n -> run(() -> discovery.set(n, "up")));
    }

    /** The wall clock of the start, carried on by the monotonic one; microseconds. */
    public long now() {
        return startedAt + (System.nanoTime() - startedNanos) / 1_000;
    }

    /** The loop that all stand-ins run on. */
    public EventLoop loop() {
        return loop;
    }

    /** Does something on the stand-ins' loop and waits for it. */
    public void run(Runnable action) {
        loop.submit(action).syncUninterruptibly();
    }

    /** Asks something on the stand-ins' loop. */
    public <T> T ask(Callable<T> question) {
        return loop.submit(question).syncUninterruptibly().getNow();
    }

    /** Adds discovery's agent for a balancer, which learns of changes so much later; returns its address. */
    public String discoveryFor(String balancer, long delayMs) {
        return discovery.agent(balancer, delayMs);
    }

    /** From now on clients of a zone use this balancer too. */
    public void balancer(String name, int zone, InetSocketAddress address) {
        run(() -> clients.balancer(name, zone, address));
    }

    /** Begins the traffic, in requests a second. */
    public void startClients(double perSecond) {
        run(() -> clients.start(perSecond));
    }

    /** Ends the traffic, and waits until all that is asked is answered or given up. */
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

    /** Changes a zone's part of the traffic. */
    public void zoneShare(int zone, double share) {
        run(() -> clients.zoneShare(zone, share));
    }

    /**
     * Core time that all nodes have worked since their start, in microseconds. Its growth over a time, over the cores'
     * own time, is the true utilisation: warm keys and cold nodes make it unlike the load that was asked for.
     */
    public long worked() {
        return ask(() ->
                inOrder.stream().mapToLong(n -> n.model().busyCoreMicros()).sum());
    }

    /** The share of all core time that was worked since {@code worked} and {@code at} were read. */
    public double utilisationSince(long worked, long at) {
        int cores = spec.nodes().stream().mapToInt(SiteModel.NodeSpec::cores).sum();
        return (worked() - worked) / (double) Math.max(1, (now() - at) * cores);
    }

    /** What the site is made of. */
    public SiteModel spec() {
        return spec;
    }

    /** Its order nodes; ask them through {@link #ask}. */
    public List<OrderNode> nodes() {
        return inOrder;
    }

    /** What happened. */
    public InvariantChecker checker() {
        return checker;
    }

    /** What is to happen to a node, told to discovery as discovery would notice it. */
    public enum Fault {
        VANISH,
        RESTART,
        DRAIN
    }

    /** Has it happen. */
    public void injectFault(String id, Fault fault) {
        OrderNode node = nodes.get(id);
        run(() -> {
            switch (fault) {
                case VANISH -> node.vanish();
                case RESTART -> {
                    node.restart();
                    discovery.set(node, "up");
                }
                case DRAIN -> {
                    node.drain();
                    discovery.set(node, "draining");
                }
                default -> throw new IllegalArgumentException(fault.toString());
            }
        });
    }

    /** Whether discovery fails its calls. */
    public void discoveryDown(boolean on) {
        run(() -> discovery.down(on));
    }

    /** The figures so far. */
    public InvariantChecker.Summary summary() {
        return ask(checker::summary);
    }

    @Override
    public void close() {
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
