package sedgeyoke.simulation;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import sedgeyoke.model.RequestClassModel;
import sedgeyoke.model.SiteModel;

/** Scenarios that tests, benchmarks and experiments begin from. */
public final class Scenarios {
    private static final int CORES = 2;
    private static final double FAST = 1.8;
    private static final double SLOW = 0.9;
    private static final int QUEUE = 40;
    private static final int ENDLESS = Integer.MAX_VALUE;

    private Scenarios() {}

    /** Three zones like the platform's, nodes dealt out unevenly, every third slow; steady traffic, no faults. */
    public static Scenario orders(int nodes, int forwarders, double load, double seconds) {
        return orders(nodes, forwarders, load, seconds, 1, 1);
    }

    /** The same with work, aims and deadlines so many times as long, and nodes that work on several for each core. */
    public static Scenario orders(
            int nodes, int forwarders, double load, double seconds, double workScale, int slotsPerCore) {
        List<SiteModel.NodeSpec> specs = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            specs.add(new SiteModel.NodeSpec(
                    "n" + i, i % 4 == 3 ? 0 : i % 4, CORES, i % 3 == 2 ? SLOW : FAST, CORES * slotsPerCore, QUEUE));
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
                Scenario.PlannerSpec.usual(0),
                new Scenario.Traffic(load, List.of(0.4, 0.3, 0.3), List.of(), 1, 500, 2, Scenario.Retries.BACKOFF, 0.3),
                Scenario.Network.USUAL,
                List.of());
    }

    /**
     * One zone, one balancer, no delays, endless queues, no keys and no time limits that matter: what queueing theory
     * has formulas for.
     *
     * @param load utilisation
     * @param spread of the work, whose mean is 10 ms
     */
    public static Scenario queue(
            int nodes, int cores, double load, RequestClassModel.Spread spread, String policy, double seconds) {
        RequestClassModel work = new RequestClassModel(
                "work", RequestClassModel.Idempotency.UNSAFE, 1, 3_000_000, 3_000_000, 1, 10, spread);
        List<SiteModel.NodeSpec> specs = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            specs.add(new SiteModel.NodeSpec("n" + i, 0, cores, 1, ENDLESS));
        }
        SiteModel site = new SiteModel(List.of("one"), List.of(work), specs, SiteModel.RuleSpec.DEFAULT, false);
        return new Scenario(
                site,
                seconds,
                seconds / 20,
                List.of(1),
                policy,
                Scenario.PlannerSpec.usual(0),
                new Scenario.Traffic(load, List.of(1.0), Collections.emptyList(), 1, 0, 1, Scenario.Retries.NONE, 0),
                new Scenario.Network(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0),
                List.of());
    }
}
