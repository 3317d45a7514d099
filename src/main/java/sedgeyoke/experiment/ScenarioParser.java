package sedgeyoke.experiment;

import java.util.ArrayList;
import java.util.List;
import sedgeyoke.simulation.BaselinePolicies;
import sedgeyoke.simulation.Scenario;
import sedgeyoke.simulation.Scenario.Fault;
import sedgeyoke.simulation.Scenario.PlannerSpec;
import sedgeyoke.simulation.Scenarios;

/** Parses the scenario, the faults and the variants of an experiment file; absent keys get default values. */
final class ScenarioParser {
    private static final int MAX_NODES = 5_000;
    private static final int MAX_FORWARDERS = 2_000;
    private static final int MAX_SECONDS = 3_600;
    private static final int MAX_KEYS = 10_000_000;
    private static final int MAX_CURVE_POINTS = 10_000;
    private static final long MAX_DELAY_US = 1_000_000;
    private static final long MAX_STALL_US = 10_000_000;
    private static final long MAX_DETECTION_MS = 60_000;
    private static final int RANDOM_TARGET = -1;

    /** Keys of a scenario that a sweep or a worst-case search may vary. */
    static final List<String> VARIABLE_KEYS = List.of(
            "nodes",
            "forwarders",
            "load",
            "seconds",
            "work_scale",
            "slots_per_core",
            "burst",
            "keys",
            "skew",
            "uneven_front",
            "cross_zone_us",
            "jitter",
            "stall",
            "discovery_most_ms",
            "notice_ms",
            "clock_skew_ms");

    private ScenarioParser() {}

    /** Parses a {@code [scenario]} table; the returned scenario has no faults. */
    static Scenario scenario(CheckedTable table) {
        int nodes = table.integer("nodes", 12, 1, MAX_NODES);
        int forwarders = table.integer("forwarders", 6, 3, MAX_FORWARDERS);
        double seconds = table.number("seconds", 30, 1, MAX_SECONDS);
        Scenario defaults = Scenarios.orders(
                nodes,
                forwarders,
                table.number("load", 0.6, 0.01, 10),
                seconds,
                table.number("work_scale", 1, 0.1, 20),
                table.integer("slots_per_core", 1, 1, 1_000));
        Scenario.Traffic traffic = traffic(table, defaults.traffic());
        Scenario.Network network = network(table, defaults.network());
        double warmUpSeconds = table.number("warm_up", defaults.warmUpSeconds(), 0, seconds / 2);
        table.rejectUnreadKeys();
        return new Scenario(
                defaults.site(),
                seconds,
                warmUpSeconds,
                defaults.forwarders(),
                defaults.policy(),
                defaults.planners(),
                traffic,
                network,
                List.of());
    }

    private static Scenario.Traffic traffic(CheckedTable table, Scenario.Traffic defaults) {
        return new Scenario.Traffic(
                defaults.load(),
                table.numbers("zone_share", defaults.zoneShare(), 3, 3),
                table.numbers("curve", defaults.loadCurve(), 0, MAX_CURVE_POINTS),
                table.integer("burst", defaults.burst(), 1, 10_000),
                table.integer("keys", defaults.keys(), 0, MAX_KEYS),
                table.number("skew", defaults.keySkew(), 0.1, 20),
                table.choice("retries", Scenario.Retries.class, defaults.retries()),
                table.number("uneven_front", defaults.forwarderImbalance(), 0, 100));
    }

    private static Scenario.Network network(CheckedTable table, Scenario.Network defaults) {
        return new Scenario.Network(
                table.wholeNumber("in_zone_us", defaults.inZoneUs(), 0, MAX_DELAY_US),
                table.wholeNumber("cross_zone_us", defaults.crossZoneUs(), 0, MAX_DELAY_US),
                table.number("jitter", defaults.jitter(), 0, 10),
                table.number("stall", defaults.stall(), 0, 1),
                table.wholeNumber("stall_us", defaults.stallUs(), 0, MAX_STALL_US),
                table.wholeNumber("discovery_ms", defaults.minDiscoveryMs(), 0, MAX_DETECTION_MS),
                table.wholeNumber("discovery_most_ms", defaults.maxDiscoveryMs(), 0, MAX_DETECTION_MS),
                table.wholeNumber("notice_ms", defaults.failureDetectionMs(), 0, MAX_DETECTION_MS),
                table.wholeNumber("clock_skew_ms", defaults.clockSkewMs(), 0, 1_000),
                table.wholeNumber("clock_drift_ppm", defaults.clockDriftPpm(), 0, 1_000),
                table.integer("connections", defaults.maxConnections(), 0, 1_000_000),
                table.wholeNumber("young_us", defaults.coldStartUs(), 0, MAX_DELAY_US));
    }

    /** Parses a {@code [[variants]]} table: the scenario with the variant's policy, planners and all faults. */
    static Scenario variant(CheckedTable table, Scenario scenario, List<Fault> commonFaults) {
        String policy = table.text("policy", BaselinePolicies.OURS);
        if (!BaselinePolicies.names().contains(policy)) {
            table.addProblem("policy", "must be one of " + String.join(", ", BaselinePolicies.names()));
            policy = BaselinePolicies.OURS;
        }
        PlannerSpec defaults = PlannerSpec.defaults(table.integer("planners", 0, 0, 16));
        PlannerSpec planners = new PlannerSpec(
                defaults.count(),
                table.wholeNumber("report_ms", defaults.reportMs(), 50, 2_000),
                table.wholeNumber("plan_ms", defaults.planMs(), 50, 2_000),
                table.wholeNumber("lease_ms", defaults.leaseMs(), 300, 10_000),
                table.wholeNumber("fade_ms", defaults.fadeMs(), 500, 60_000),
                defaults.driftPpm());
        List<Fault> faults = new ArrayList<>(commonFaults);
        faults.addAll(faults(table));
        return scenario.withPolicy(policy).withPlanners(planners).withFaults(faults);
    }

    /** Parses the {@code [[faults]]} tables of a table. */
    static List<Fault> faults(CheckedTable parent) {
        List<Fault> faults = new ArrayList<>();
        for (CheckedTable table : parent.tables("faults")) {
            Scenario.Kind kind = table.choice("do", Scenario.Kind.class, null);
            if (kind == null) {
                table.addProblem("do", "is required");
            }
            faults.add(new Fault(
                    table.number("at", 0, 0, MAX_SECONDS),
                    kind,
                    table.integer("who", RANDOM_TARGET, RANDOM_TARGET, MAX_NODES),
                    table.integer("count", 1, 1, 10_000),
                    table.number("every", 0, 0, MAX_SECONDS),
                    table.number("lasts", 0, 0, MAX_SECONDS),
                    table.number("value", 0, 0, 1_000)));
            table.rejectUnreadKeys();
        }
        return faults;
    }
}
