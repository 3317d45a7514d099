package sedgeyoke.simulation;

import java.util.ArrayList;
import java.util.List;
import sedgeyoke.model.RequestClassModel;
import sedgeyoke.model.SiteModel;

/** Base scenarios for tests, benchmarks and experiments. */
public final class Scenarios {
    private static final int CORES = 2;
    private static final double FAST_SPEED = 1.8;
    private static final double SLOW_SPEED = 0.9;
    private static final int QUEUE_LENGTH = 40;
    private static final int UNBOUNDED = Integer.MAX_VALUE;
    /** Longer than any request of a run takes. */
    private static final int NO_TIMEOUT_MS = 3_000_000;

    private static final double QUEUE_MEAN_WORK_MS = 10;

    private Scenarios() {}

    /**
     * Three zones like the platform's, with half of the upstreams in the first zone and every third upstream slow;
     * constant load, no faults.
     */
    public static Scenario orders(int nodes, int forwarders, double load, double seconds) {
        return orders(nodes, forwarders, load, seconds, 1, 1);
    }

    /** As the other {@code orders}, with all times of the request classes scaled and several slots for each core. */
    public static Scenario orders(
            int nodes, int forwarders, double load, double seconds, double workScale, int slotsPerCore) {
        List<SiteModel.NodeSpec> specs = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            int zone = i % 4 == 3 ? 0 : i % 4;
            double speed = i % 3 == 2 ? SLOW_SPEED : FAST_SPEED;
            specs.add(new SiteModel.NodeSpec("n" + i, zone, CORES, speed, CORES * slotsPerCore, QUEUE_LENGTH));
        }
        SiteModel site = new SiteModel(
                List.of("kagoshima", "miyazaki", "oita"),
                SiteModel.orders(workScale),
                specs,
                SiteModel.RuleSpec.DEFAULT,
                false);
        int third = forwarders / 3;
        return new Scenario(
                site,
                seconds,
                Math.min(10, seconds / 4),
                List.of(forwarders - 2 * third, third, third),
                BaselinePolicies.OURS,
                Scenario.PlannerSpec.defaults(0),
                new Scenario.Traffic(load, List.of(0.4, 0.3, 0.3), List.of(), 1, 500, 2, Scenario.Retries.BACKOFF, 0.3),
                Scenario.Network.DEFAULT,
                List.of());
    }

    /**
     * One zone, one forwarder, no delays, unbounded queues, no keys and no timeouts, as queueing theory assumes.
     *
     * @param load mean utilisation
     * @param spread distribution of the work, whose mean is 10 ms
     */
    public static Scenario queue(
            int nodes, int cores, double load, RequestClassModel.Spread spread, String policy, double seconds) {
        RequestClassModel work = new RequestClassModel(
                "work",
                RequestClassModel.Idempotency.UNSAFE,
                1,
                NO_TIMEOUT_MS,
                NO_TIMEOUT_MS,
                1,
                QUEUE_MEAN_WORK_MS,
                spread);
        List<SiteModel.NodeSpec> specs = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            specs.add(new SiteModel.NodeSpec("n" + i, 0, cores, 1, UNBOUNDED));
        }
        SiteModel site = new SiteModel(List.of("one"), List.of(work), specs, SiteModel.RuleSpec.DEFAULT, false);
        return new Scenario(
                site,
                seconds,
                seconds / 20,
                List.of(1),
                policy,
                Scenario.PlannerSpec.defaults(0),
                new Scenario.Traffic(load, List.of(1.0), List.of(), 1, 0, 1, Scenario.Retries.NONE, 0),
                new Scenario.Network(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0),
                List.of());
    }
}
