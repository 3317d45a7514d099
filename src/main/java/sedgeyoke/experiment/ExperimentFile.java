package sedgeyoke.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import sedgeyoke.emulate.Policies;
import sedgeyoke.emulate.Scenario;
import sedgeyoke.emulate.Scenario.Fault;
import sedgeyoke.emulate.Scenario.PlannerSpec;
import sedgeyoke.emulate.Scenarios;
import sedgeyoke.operator.Problem;

/**
 * An experiment as its file has it.
 *
 * @param name of the file, without its ending
 * @param title in a line
 * @param theory whether it is the comparison with queueing theory, which has no scenario
 * @param variants by name, in the file's order
 * @param base the variant that the others are compared with
 * @param failing the variant whose service is to stay near that of {@code with}; empty for none
 * @param with the variant that is to be better than {@code base}; empty for none
 */
public record ExperimentFile(String name, String title, boolean theory, Map<String, Scenario> variants, String base,
        String with, String failing) {
    private static final long LARGEST = 1 << 20;
    private static final int MOST_NODES = 5_000;
    private static final int MOST_FORWARDERS = 2_000;
    private static final int MOST_VARIANTS = 32;

    /** Reads a file; throws with all that is wrong in it. */
    public static ExperimentFile load(Path file) throws BadExperiment {
        List<Problem> problems = new ArrayList<>();
        TomlParseResult toml = null;
        try {
            if (Files.size(file) > LARGEST) {
                problems.add(new Problem(file.toString(), 0, "", "is larger than " + LARGEST + " bytes"));
            } else {
                toml = Toml.parse(file);
                toml.errors().forEach(e -> problems.add(new Problem(file.toString(), e.position().line(), "",
                        e.getMessage())));
            }
        } catch (IOException e) {
            problems.add(new Problem(file.toString(), 0, "", "cannot be read: " + e));
        }
        if (!problems.isEmpty()) {
            throw new BadExperiment(problems);
        }
        ExperimentFile read = read(file, new Table(file, "", toml, 1, problems));
        if (!problems.isEmpty()) {
            throw new BadExperiment(problems);
        }
        return read;
    }

    private static ExperimentFile read(Path file, Table root) {
        String stem = file.getFileName().toString().replaceAll("\\.toml$", "");
        String title = root.text("title", stem);
        boolean theory = root.flag("theory", false);
        Map<String, Scenario> variants = new LinkedHashMap<>();
        String base = "";
        String with = "";
        String failing = "";
        if (!theory) {
            Table t = root.table("scenario");
            Scenario scenario = scenario(t);
            t.done();
            List<Fault> faults = faults(root);
            for (Table v : root.tables("variants")) {
                String name = v.text("name", null);
                if (name == null || variants.containsKey(name) || variants.size() == MOST_VARIANTS) {
                    v.problem("name", "must be there, and unlike that of " + MOST_VARIANTS + " others at most");
                    continue;
                }
                variants.put(name, variant(v, scenario, faults));
                v.done();
            }
            if (variants.isEmpty()) {
                root.problem("variants", "at least one [[variants]] is needed");
            }
            Table compare = root.table("compare");
            base = named(compare, "base", variants, variants.isEmpty() ? "" : variants.keySet().iterator().next());
            with = named(compare, "with", variants, "");
            failing = named(compare, "failing", variants, "");
            compare.done();
        }
        root.done();
        return new ExperimentFile(stem, title, theory, variants, base, with, failing);
    }

    private static String named(Table compare, String key, Map<String, Scenario> variants, String fallback) {
        String name = compare.text(key, fallback);
        if (!name.isEmpty() && !variants.containsKey(name)) {
            compare.problem(key, "is no variant; there are " + String.join(", ", variants.keySet()));
        }
        return name;
    }

    private static Scenario scenario(Table t) {
        int nodes = (int) t.whole("nodes", 12, 1, MOST_NODES);
        int forwarders = (int) t.whole("forwarders", 6, 3, MOST_FORWARDERS);
        double seconds = t.number("seconds", 30, 1, 3_600);
        Scenario s = Scenarios.orders(nodes, forwarders, t.number("load", 0.6, 0.01, 10), seconds);
        Scenario.Traffic u = s.traffic();
        Scenario.Network n = s.network();
        Scenario.Traffic traffic = new Scenario.Traffic(u.load(), t.numbers("zone_share", u.zoneShare(), 3, 3),
                t.numbers("curve", u.curve(), 0, 10_000), (int) t.whole("burst", u.burst(), 1, 10_000),
                (int) t.whole("keys", u.keys(), 0, 10_000_000), t.number("skew", u.skew(), 0.1, 20),
                t.choice("retries", Scenario.Retries.class, u.retries()),
                t.number("uneven_front", u.unevenFront(), 0, 100));
        Scenario.Network network = new Scenario.Network(t.whole("in_zone_us", n.inZoneUs(), 0, 1_000_000),
                t.whole("cross_zone_us", n.crossZoneUs(), 0, 1_000_000), t.number("jitter", n.jitter(), 0, 10),
                t.number("stall", n.stall(), 0, 1), t.whole("stall_us", n.stallUs(), 0, 10_000_000),
                t.whole("discovery_ms", n.discoveryMs(), 0, 60_000),
                t.whole("discovery_most_ms", n.discoveryMostMs(), 0, 60_000),
                t.whole("notice_ms", n.noticeMs(), 0, 60_000), t.whole("clock_skew_ms", n.clockSkewMs(), 0, 1_000),
                t.whole("clock_drift_ppm", n.clockDriftPpm(), 0, 1_000));
        return new Scenario(s.site(), seconds, t.number("warm_up", s.warmUp(), 0, seconds / 2), s.forwarders(),
                s.policy(), s.planners(), traffic, network, List.of());
    }

    private static Scenario variant(Table v, Scenario scenario, List<Fault> common) {
        String policy = v.text("policy", Policies.OURS);
        if (!Policies.names().contains(policy)) {
            v.problem("policy", "is one of " + String.join(", ", Policies.names()));
            policy = Policies.OURS;
        }
        PlannerSpec usual = PlannerSpec.usual((int) v.whole("planners", 0, 0, 16));
        PlannerSpec planners = new PlannerSpec(usual.count(), v.whole("report_ms", usual.reportMs(), 50, 2_000),
                v.whole("plan_ms", usual.planMs(), 50, 2_000), v.whole("lease_ms", usual.leaseMs(), 300, 10_000),
                v.whole("fade_ms", usual.fadeMs(), 500, 60_000), usual.driftPpm());
        List<Fault> faults = new ArrayList<>(common);
        faults.addAll(faults(v));
        return scenario.withPolicy(policy).withPlanners(planners).withFaults(faults);
    }

    private static List<Fault> faults(Table of) {
        List<Fault> faults = new ArrayList<>();
        for (Table t : of.tables("faults")) {
            Scenario.Kind kind = t.choice("do", Scenario.Kind.class, null);
            if (kind == null) {
                t.problem("do", "must be there");
            }
            faults.add(new Fault(t.number("at", 0, 0, 3_600), kind, (int) t.whole("who", -1, -1, MOST_NODES),
                    (int) t.whole("count", 1, 1, 10_000), t.number("every", 0, 0, 3_600),
                    t.number("lasts", 0, 0, 3_600), t.number("value", 0, 0, 1_000)));
            t.done();
        }
        return faults;
    }
}
