package sedgeyoke.model;

import java.util.List;
import sedgeyoke.model.RequestClassModel.Idempotency;

/**
 * The nodes and request classes of a site, and the settings that all of its balancers share.
 *
 * @param zones its data centres
 * @param classes the classes of requests
 * @param nodes the order nodes at the start
 * @param rules the parameters of the platform's rules
 * @param retryAfter whether rejections may carry a Retry-After header
 */
public record SiteModel(
        List<String> zones, List<RequestClassModel> classes, List<NodeSpec> nodes, RuleSpec rules, boolean retryAfter) {
    /** The platform's names for nodes by their speed. */
    public static final List<String> KINDS = List.of("fast", "slow");

    private static final double FAST_FROM = 1.2;

    /**
     * The parameters of the platform's rules.
     *
     * @param drainGraceMs how long requests may still reach a node after the balancer was notified that it drains
     * @param startCapacity a node's share of its full capacity at the start of its slow start
     * @param warmUpMs how long a node takes to reach its full capacity
     * @param overloadMultiple a node in slow start fails if the work that arrives exceeds this multiple of its capacity
     * @param overloadWindowMs the length of the window over which that work is measured
     */
    public record RuleSpec(
            long drainGraceMs, double startCapacity, long warmUpMs, double overloadMultiple, long overloadWindowMs) {
        /** The platform's parameters. */
        public static final RuleSpec DEFAULT = new RuleSpec(1_000, 0.32, 9_000, 4, 1_500);
    }

    /**
     * An order node.
     *
     * @param id the node's id, the same at every balancer
     * @param zone its data centre, by number
     * @param cores number of cores
     * @param speed speed of a core: milliseconds of work done in a millisecond
     * @param slots requests served concurrently, sharing the cores evenly; at least {@code cores}
     * @param queue length of the queue; further requests are rejected
     */
    public record NodeSpec(String id, int zone, int cores, double speed, int slots, int queue) {
        /** Creates a node that serves one request on each core and queues the others. */
        public NodeSpec(String id, int zone, int cores, double speed, int queue) {
            this(id, zone, cores, speed, cores, queue);
        }

        /** Full capacity, after slow start: seconds of work done in a second. */
        public double capacity() {
            return cores * speed;
        }

        /** The index of the node's kind in {@link #KINDS}. */
        public int kind() {
            return speed >= FAST_FROM ? 0 : 1;
        }
    }

    /** The platform's classes: position updates with an idempotency key and unsafe trade confirmations. */
    public static List<RequestClassModel> orders() {
        return orders(1);
    }

    /**
     * The platform's classes with work, objectives and timeouts multiplied by a factor. The platform scales them for a
     * large fleet, so that the same nodes serve fewer requests a second.
     */
    public static List<RequestClassModel> orders(double scale) {
        return List.of(
                scaled("position-update", Idempotency.KEYED, 0.54, 250 * scale, 500 * scale, 10, 50 * scale),
                scaled("trade-confirm", Idempotency.UNSAFE, 0.46, 800 * scale, 2_500 * scale, 30, 100 * scale));
    }

    private static RequestClassModel scaled(
            String name,
            Idempotency idempotency,
            double share,
            double latencyObjectiveMs,
            double clientTimeoutMs,
            double priorityWeight,
            double meanWorkMs) {
        return new RequestClassModel(
                name,
                idempotency,
                share,
                (int) Math.round(latencyObjectiveMs),
                (int) Math.round(clientTimeoutMs),
                priorityWeight,
                meanWorkMs);
    }

    /** Mean work of a request, in seconds. */
    public double meanWork() {
        return classes.stream()
                        .mapToDouble(requestClass -> requestClass.share() * requestClass.meanWorkMs())
                        .sum()
                / 1_000;
    }

    /** Capacity of all nodes after slow start, in requests a second. */
    public double capacity() {
        return nodes.stream().mapToDouble(NodeSpec::capacity).sum() / meanWork();
    }
}
