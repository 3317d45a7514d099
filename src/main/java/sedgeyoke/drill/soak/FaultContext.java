package sedgeyoke.drill.soak;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import sedgeyoke.standin.OrderNode;
import sedgeyoke.standin.Site;

/**
 * What all kinds of faults share: their targets, the random number generator and the scheduler that undoes them. At
 * most a third of the balancers (but at least one) and a third of the nodes are faulty at a time.
 */
final class FaultContext implements AutoCloseable {
    private static final int FAULTY_ONE_IN = 3;

    private final Site site;
    private final List<SoakBalancer> balancers;
    private final EventLog events;
    private final SplittableRandom random;
    private final FaultTargets<OrderNode> nodeTargets;
    private final FaultTargets<SoakBalancer> balancerTargets;
    private final FaultScheduler scheduler = new FaultScheduler();
    private final DiscoveryStatus discovery = new DiscoveryStatus();

    FaultContext(Site site, List<SoakBalancer> balancers, EventLog events, long seed) {
        this.site = site;
        this.balancers = balancers;
        this.events = events;
        this.random = new SplittableRandom(seed);
        this.nodeTargets = new FaultTargets<>(site.nodes(), site.nodes().size() / FAULTY_ONE_IN, random);
        this.balancerTargets = new FaultTargets<>(balancers, Math.max(1, balancers.size() / FAULTY_ONE_IN), random);
    }

    Site site() {
        return site;
    }

    List<SoakBalancer> balancers() {
        return balancers;
    }

    EventLog events() {
        return events;
    }

    /** The random numbers, only for the thread that injects faults, so that a seed always draws the same faults. */
    SplittableRandom random() {
        return random;
    }

    FaultScheduler scheduler() {
        return scheduler;
    }

    DiscoveryStatus discovery() {
        return discovery;
    }

    /** Draws a node whose state will change; empty if enough nodes are faulty. */
    Optional<OrderNode> reserveNode() {
        Optional<OrderNode> node = nodeTargets.reserve();
        node.ifPresent(reserved -> discovery.nodeChanges());
        return node;
    }

    void releaseNode(OrderNode node) {
        nodeTargets.release(node);
    }

    /** Draws a balancer; empty if enough balancers are faulty. */
    Optional<SoakBalancer> reserveBalancer() {
        return balancerTargets.reserve();
    }

    void releaseBalancer(SoakBalancer balancer) {
        balancerTargets.release(balancer);
    }

    /** Draws a balancer, faulty or not. */
    SoakBalancer drawBalancer() {
        return balancers.get(random.nextInt(balancers.size()));
    }

    @Override
    public void close() {
        scheduler.close();
    }
}
