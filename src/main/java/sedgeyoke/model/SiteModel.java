package sedgeyoke.model;

import java.util.List;
import sedgeyoke.model.RequestClassModel.Idempotency;

/**
 * The parts of a site and the settings that all of its balancers share.
 *
 * @param zones its data centres
 * @param classes the classes of requests
 * @param nodes the order nodes at the start
 * @param rules the parameters of the rules
 * @param retryAfter whether rejections may carry a Retry-After
 */
public record SiteModel(
        List<String> zones, List<RequestClassModel> classes, List<NodeSpec> nodes, RuleSpec rules, boolean retryAfter) {
    /** The platform's names for nodes by their speed. */
    public static final List<String> KINDS = List.of("fast", "slow");

    private static final double FAST_FROM = 1.2;

    /**
     * The parameters of the rules.
     *
     * @param drainGraceMs how long requests may still reach a node after the balancer was notified that it drains
     * @param startCapacity share of its capacity that a node has at its start
     * @param warmUpMs how long a node takes to reach its full capacity
     * @param overloadMultiple a node that warms up fails if it gets more than this multiple of its capacity
     * @param overloadWindowMs over a window of this length
     */
    public record RuleSpec(
            long drainGraceMs, double startCapacity, long warmUpMs, double overloadMultiple, long overloadWindowMs) {
        /** The platform's. */
        public static final RuleSpec DEFAULT = new RuleSpec(1_000, 0.32, 9_000, 4, 1_500);
    }

    /**
     * An order node.
     *
     * @param id the same at every balancer
     * @param zone its data centre, by number
     * @param cores how many requests it works on at full speed
     * @param speed work that a core does in a millisecond, in milliseconds of work
     * @param slots requests that it works on at once, its cores shared evenly among them; {@code cores} at least
     * @param queue requests that may wait; further ones are rejected
     */
    public record NodeSpec(String id, int zone, int cores, double speed, int slots, int queue) {
        /** A node that works on one request for each core and queues the others. */
        public NodeSpec(String id, int zone, int cores, double speed, int queue) {
            this(id, zone, cores, speed, cores, queue);
        }

        /** Seconds of work that it does in a second once it is warm. */
        public double capacity() {
            return cores * speed;
        }

        /** Its index in {@link #KINDS}. */
        public int kind() {
            return speed >= FAST_FROM ? 0 : 1;
        }
    }

    /** The platform's classes: position updates with an idempotency key and unsafe trade confirmations. */
    public static List<RequestClassModel> orders() {
        return orders(1);
    }

    /**
     * The same with work, objectives and timeouts multiplied by a factor: the platform scales them for a large fleet,
     * so that the same nodes serve fewer requests a second.
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

    /** What all nodes can serve once they are warm, in requests a second. */
    public double capacity() {
        return nodes.stream().mapToDouble(NodeSpec::capacity).sum() / meanWork();
    }
}
