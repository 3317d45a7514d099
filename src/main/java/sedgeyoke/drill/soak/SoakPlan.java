package sedgeyoke.drill.soak;

import java.util.SplittableRandom;
import sedgeyoke.drill.Sites;
import sedgeyoke.model.SiteModel;

/**
 * The parameters of a run, which its seed decides before the start.
 *
 * @param seed the seed
 * @param site the nodes and rules
 * @param balancers the number of balancers
 * @param polled whether lists are polled from one service, rather than pushed to an agent for each balancer
 * @param load offered load as a share of the nodes' capacity
 * @param disconnectShare share of the requests whose client disconnects early
 */
record SoakPlan(long seed, SiteModel site, int balancers, boolean polled, double load, double disconnectShare) {
    private static final int MIN_BALANCERS = 2;
    private static final int MIN_NODES = 8;
    private static final int MAX_FURTHER_NODES = 8;
    private static final double MIN_LOAD = 0.25;
    private static final double FURTHER_LOAD = 0.35;
    private static final double MAX_DISCONNECT_SHARE = 0.08;
    /** A slow-start capacity below a node's even share of the load. */
    private static final SiteModel.RuleSpec COLD_START = new SiteModel.RuleSpec(1_000, 0.02, 9_000, 0.1, 1_500);

    /** Draws a plan: half of the seeds use agents, half poll; every fourth has many clients that disconnect early. */
    static SoakPlan of(long seed, int maxBalancers, Mistake mistake) {
        SplittableRandom random = new SplittableRandom(seed * 31 + 7);
        int balancers = MIN_BALANCERS + random.nextInt(Math.max(1, maxBalancers - MIN_BALANCERS + 1));
        SiteModel site = Sites.orders(MIN_NODES + random.nextInt(MAX_FURTHER_NODES));
        if (mistake == Mistake.NO_SLOW_START) {
            site = new SiteModel(site.zones(), site.classes(), site.nodes(), COLD_START, site.retryAfter());
        }
        double load = MIN_LOAD + FURTHER_LOAD * random.nextDouble();
        double disconnectShare = MAX_DISCONNECT_SHARE * random.nextDouble() * (seed % 4 == 3 ? 4 : 1);
        return new SoakPlan(seed, site, balancers, seed % 2 == 1, load, disconnectShare);
    }

    String describe() {
        return balancers + " balancers, " + site.nodes().size() + " nodes, " + (polled ? "polled" : "pushed")
                + ", load " + Math.round(load * 100) + "%";
    }
}
