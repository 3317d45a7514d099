package sedgeyoke.model;

import java.util.List;

/**
 * What a site is made of, and the figures that every balancer of it is told.
 *
 * @param zones its data centres
 * @param classes the classes of requests
 * @param nodes the order nodes at the start
 * @param rules the figures of the rules
 * @param retryAfter whether refusals may tell clients when to come back
 */
public record SiteModel(
        List<String> zones, List<RequestClassModel> classes, List<NodeSpec> nodes, RuleSpec rules, boolean retryAfter) {
    /** What nodes are called by their speed. */
    public static final List<String> KINDS = List.of("fast", "slow");

    /**
     * The figures of the rules, times in milliseconds.
     *
     * @param drainGraceMs nothing new may reach a node so long after the balancer was told that it drains
     * @param startCapacity share of its capacity that a node has at its start
     * @param coldMs it is warm after that
     * @param fallMultiple sent more than this multiple of what it can do
     * @param fallMs over so long a time, it falls over
     */
    public record RuleSpec(long drainGraceMs, double startCapacity, long coldMs, double fallMultiple, long fallMs) {
        /** The platform's. */
        public static final RuleSpec USUAL = new RuleSpec(1_000, 0.32, 9_000, 4, 1_500);
    }

    /**
     * An order node.
     *
     * @param id the same at every balancer
     * @param zone its data centre, by number
     * @param cores how many requests it works on at full speed
     * @param speed work that a core does in a millisecond, in milliseconds of work
     * @param slots requests that it works on at once, its cores shared evenly among them; {@code cores} at least
     * @param queue requests that may wait; further ones are turned away
     */
    public record NodeSpec(String id, int zone, int cores, double speed, int slots, int queue) {
        /** One that works on a request for each core, and lets the others wait in turn. */
        public NodeSpec(String id, int zone, int cores, double speed, int queue) {
            this(id, zone, cores, speed, cores, queue);
        }

        /** Work that it does in a second once warm, in seconds. */
        public double capacity() {
            return cores * speed;
        }

        /** By number of {@link #KINDS}. */
        public int kind() {
            return speed >= 1.2 ? 0 : 1;
        }
    }

    /** Orders as the platform's site has them: keyed position updates and unsafe trade confirmations. */
    public static List<RequestClassModel> orders() {
        return orders(1);
    }

    /**
     * The same with work, aims and deadlines so many times as long: the platform scales them where a fleet is large, so
     * that the same nodes carry fewer requests a second and each balancer sees fewer of them.
     */
    public static List<RequestClassModel> orders(double scale) {
        return List.of(
                order("position-update", "guarded", 0.54, 250 * scale, 500 * scale, 10, 50 * scale),
                order("trade-confirm", "single_shot", 0.46, 800 * scale, 2_500 * scale, 30, 100 * scale));
    }

    private static RequestClassModel order(
            String name, String repeat, double share, double aimMs, double giveUpMs, double worth, double workMs) {
        return new RequestClassModel(
                name, repeat, share, (int) Math.round(aimMs), (int) Math.round(giveUpMs), worth, workMs);
    }

    /** Mean work of a request, in seconds. */
    public double meanWork() {
        return classes.stream().mapToDouble(c -> c.share() * c.workMs()).sum() / 1_000;
    }

    /** What all its nodes can do, in requests a second. */
    public double capacity() {
        return nodes.stream().mapToDouble(NodeSpec::capacity).sum() / meanWork();
    }
}
