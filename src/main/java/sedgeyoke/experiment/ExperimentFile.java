package sedgeyoke.experiment;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import sedgeyoke.settings.ConfigProblem;
import sedgeyoke.simulation.BaselinePolicies;
import sedgeyoke.simulation.Scenario;
import sedgeyoke.simulation.Scenario.Fault;
import sedgeyoke.simulation.Scenario.PlannerSpec;
import sedgeyoke.simulation.Scenarios;

/**
 * An experiment as its file has it.
 *
 * @param name of the file, without its ending
 * @param title in a line
 * @param theory whether it is the comparison with queueing theory, which has no scenario
 * @param digest SHA-256 of its text: runs of another file are not mixed with its own
 * @param points what is swept, and the variants at each point of it; one point without anything where nothing is
 * @param base the variant that the others are compared with
 * @param failing the variant whose service is to stay near that of {@code with}; empty for none
 * @param with the variant that is to be better than {@code base}; empty for none
 * @param hunt what {@code hunt} may vary; null where the file has none
 */
public record ExperimentFile(
        String name,
        String title,
        boolean theory,
        String digest,
        List<Point> points,
        String base,
        String with,
        String failing,
        HuntSpec hunt) {
    private static final long LARGEST = 1 << 20;
    private static final int MOST_NODES = 5_000;
    private static final int MOST_FORWARDERS = 2_000;
    private static final int MOST_VARIANTS = 32;
    private static final int MOST_POINTS = 64;
    private static final int MOST_DAYS = 32;
    /** What a sweep or a hunt may vary of a scenario. */
    static final List<String> VARIABLE = List.of(
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

    /**
     * Variants on one day and at one point of a sweep, with the same scenario.
     *
     * @param day its name; empty where the file has no days
     * @param at what is swept and its values here, in the file's order
     * @param variants by name, in the file's order
     */
    public record Point(String day, Map<String, Double> at, Map<String, Scenario> variants) {
        /** Such as {@code forwarders=30}; empty where nothing is swept. */
        public String label() {
            return (day + " " + swept()).strip();
        }

        private String swept() {
            return String.join(
                    " ",
                    at.entrySet().stream()
                            .map(e -> e.getKey() + "="
                                    + (e.getValue() == Math.rint(e.getValue())
                                            ? "" + e.getValue().longValue()
                                            : "" + e.getValue()))
                            .toList());
        }
    }

    /**
     * What a hunt may vary, and what it looks for.
     *
     * @param variant whose failure is looked for
     * @param against it should do better than that one; empty: only a broken rule counts
     * @param tries scenarios that are drawn
     * @param mostFaults in each, beside those of the variants
     * @param kinds of faults
     * @param ranges least and most value of each key of the scenario that varies
     * @param scenario the file's own values of all keys
     * @param variants the file's tables of the two
     */
    public record HuntSpec(
            String variant,
            String against,
            int tries,
            int mostFaults,
            List<Scenario.Kind> kinds,
            Map<String, double[]> ranges,
            Map<String, Object> scenario,
            List<Map<String, Object>> variants) {}

    /** Reads a file; throws with all that is wrong in it. */
    public static ExperimentFile load(Path file) throws InvalidExperimentException {
        List<ConfigProblem> problems = new ArrayList<>();
        String text = "";
        try {
            if (Files.size(file) > LARGEST) {
                problems.add(new ConfigProblem(file.toString(), 0, "", "is larger than " + LARGEST + " bytes"));
            } else {
                text = Files.readString(file);
            }
        } catch (IOException e) {
            problems.add(new ConfigProblem(file.toString(), 0, "", "cannot be read: " + e));
        }
        if (!problems.isEmpty()) {
            throw new InvalidExperimentException(problems);
        }
        return parse(file, text);
    }

    /** Reads a text as if it were in that file. */
    static ExperimentFile parse(Path file, String text) throws InvalidExperimentException {
        List<ConfigProblem> problems = new ArrayList<>();
        TomlParseResult toml = Toml.parse(text);
        toml.errors()
                .forEach(e -> problems.add(
                        new ConfigProblem(file.toString(), e.position().line(), "", e.getMessage())));
        if (!problems.isEmpty()) {
            throw new InvalidExperimentException(problems);
        }
        ExperimentFile read = read(file, digest(text), new Table(file, "", toml, 1, problems), problems);
        if (!problems.isEmpty()) {
            throw new InvalidExperimentException(problems);
        }
        return read;
    }

    private static String digest(String text) {
        try {
            return HexFormat.of()
                    .formatHex(MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every JDK has it
        }
    }

    private static ExperimentFile read(Path file, String digest, Table root, List<ConfigProblem> problems) {
        String stem = file.getFileName().toString().replaceAll("\\.toml$", "");
        String title = root.text("title", stem);
        boolean theory = root.flag("theory", false);
        List<Point> points = new ArrayList<>();
        String base = "";
        String with = "";
        String failing = "";
        HuntSpec hunt = null;
        if (!theory) {
            Table t = root.table("scenario");
            List<Fault> faults = faults(root);
            List<Table> tables = root.tables("variants");
            List<Map<String, Double>> sweep = sweep(root);
            for (Day day : days(root, t, faults)) {
                for (Map<String, Double> at : sweep) {
                    if (points.isEmpty() || problems.isEmpty()) { // what is wrong at one point is wrong at each
                        points.add(new Point(
                                day.name(),
                                at,
                                variants(tables, scenario(day.scenario().with(at)), day.faults())));
                    }
                }
            }
            if (tables.isEmpty()) {
                root.problem("variants", "at least one [[variants]] is needed");
            }
            Map<String, Scenario> variants =
                    points.isEmpty() ? Map.of() : points.get(0).variants();
            Table compare = root.table("compare");
            base = named(
                    compare,
                    "base",
                    variants,
                    variants.isEmpty() ? "" : variants.keySet().iterator().next());
            with = named(compare, "with", variants, "");
            failing = named(compare, "failing", variants, "");
            compare.done();
            if (root.has("hunt") && root.has("days")) {
                root.problem("hunt", "looks for scenarios of its own: not in a file with days");
            }
            hunt = root.has("hunt") ? hunt(root.table("hunt"), t, tables, variants) : null;
        }
        root.done();
        return new ExperimentFile(stem, title, theory, digest, points, base, with, failing, hunt);
    }

    /** One day: what it changes of the file's scenario, and what happens on it beside the file's own faults. */
    private record Day(String name, Table scenario, List<Fault> faults) {}

    /** The days that the file has, or one without a name that changes nothing. */
    private static List<Day> days(Table root, Table scenario, List<Fault> common) {
        List<Day> days = new ArrayList<>();
        for (Table t : root.tables("days")) {
            String name = t.text("name", null);
            if (name == null
                    || !name.matches("[a-z0-9+-]{1,32}")
                    || days.size() == MOST_DAYS
                    || days.stream().anyMatch(d -> d.name().equals(name))) {
                t.problem(
                        "name",
                        "must be there, of a-z, 0-9, + and -, and unlike that of " + MOST_DAYS + " others at most");
                continue;
            }
            List<Fault> faults = new ArrayList<>(common);
            faults.addAll(faults(t));
            days.add(new Day(name, t.table("scenario").over(scenario), faults));
            t.done();
        }
        return days.isEmpty() ? List.of(new Day("", scenario, common)) : days;
    }

    private static Map<String, Scenario> variants(List<Table> tables, Scenario scenario, List<Fault> faults) {
        Map<String, Scenario> variants = new LinkedHashMap<>();
        for (Table v : tables) {
            String name = v.text("name", null);
            if (name == null || variants.containsKey(name) || variants.size() == MOST_VARIANTS) {
                v.problem("name", "must be there, and unlike that of " + MOST_VARIANTS + " others at most");
                continue;
            }
            variants.put(name, variant(v, scenario, faults));
            v.done();
        }
        return variants;
    }

    /** All combinations of what is swept; one with nothing where nothing is. */
    private static List<Map<String, Double>> sweep(Table root) {
        List<Map<String, Double>> points = List.of(Map.of());
        for (Table axis : root.tables("sweep")) {
            String key = axis.text("key", "");
            if (!VARIABLE.contains(key)) {
                axis.problem("key", "is one of " + String.join(", ", VARIABLE));
            }
            List<Double> values = axis.numbers("values", List.of(), 1, MOST_POINTS);
            axis.done();
            List<Map<String, Double>> more = new ArrayList<>();
            for (Map<String, Double> point : points) {
                for (double value : values) {
                    Map<String, Double> next = new LinkedHashMap<>(point);
                    next.put(key, value);
                    more.add(next);
                }
            }
            points = more;
            if (points.size() > MOST_POINTS) {
                axis.problem("values", "make more than " + MOST_POINTS + " points together with what was swept before");
                return List.of();
            }
        }
        return points;
    }

    private static HuntSpec hunt(Table t, Table scenario, List<Table> tables, Map<String, Scenario> variants) {
        String variant = named(
                t,
                "variant",
                variants,
                variants.isEmpty() ? "" : variants.keySet().iterator().next());
        String against = named(t, "against", variants, "");
        Map<String, double[]> ranges = new LinkedHashMap<>();
        Table r = t.table("ranges");
        for (String key : r.keys()) {
            List<Double> range = r.numbers(key, List.of(0.0, 0.0), 2, 2);
            if (!VARIABLE.contains(key) || range.get(0) > range.get(1)) {
                r.problem(key, "must be [least, most] of one of " + String.join(", ", VARIABLE));
            }
            ranges.put(key, new double[] {range.get(0), range.get(1)});
        }
        List<String> kinds =
                java.util.Arrays.stream(Scenario.Kind.values()).map(Table::name).toList();
        HuntSpec spec = new HuntSpec(
                variant,
                against,
                (int) t.whole("tries", 40, 1, 100_000),
                (int) t.whole("most_faults", 4, 0, 50),
                t.texts("kinds", kinds).stream()
                        .map(k -> Scenario.Kind.valueOf(k.toUpperCase(Locale.ROOT)))
                        .toList(),
                ranges,
                scenario.plain(),
                tables.stream()
                        .map(Table::plain)
                        .filter(v ->
                                v.get("name").equals(variant) || v.get("name").equals(against))
                        .toList());
        t.done();
        return spec;
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
        Scenario s = Scenarios.orders(
                nodes, forwarders, t.number("load", 0.6, 0.01, 10), seconds, t.number("work_scale", 1, 0.1, 20), (int)
                        t.whole("slots_per_core", 1, 1, 1_000));
        Scenario.Traffic u = s.traffic();
        Scenario.Network n = s.network();
        Scenario.Traffic traffic = new Scenario.Traffic(
                u.load(),
                t.numbers("zone_share", u.zoneShare(), 3, 3),
                t.numbers("curve", u.loadCurve(), 0, 10_000),
                (int) t.whole("burst", u.burst(), 1, 10_000),
                (int) t.whole("keys", u.keys(), 0, 10_000_000),
                t.number("skew", u.keySkew(), 0.1, 20),
                t.choice("retries", Scenario.Retries.class, u.retries()),
                t.number("uneven_front", u.forwarderImbalance(), 0, 100));
        Scenario.Network network = new Scenario.Network(
                t.whole("in_zone_us", n.inZoneUs(), 0, 1_000_000),
                t.whole("cross_zone_us", n.crossZoneUs(), 0, 1_000_000),
                t.number("jitter", n.jitter(), 0, 10),
                t.number("stall", n.stall(), 0, 1),
                t.whole("stall_us", n.stallUs(), 0, 10_000_000),
                t.whole("discovery_ms", n.minDiscoveryMs(), 0, 60_000),
                t.whole("discovery_most_ms", n.maxDiscoveryMs(), 0, 60_000),
                t.whole("notice_ms", n.failureDetectionMs(), 0, 60_000),
                t.whole("clock_skew_ms", n.clockSkewMs(), 0, 1_000),
                t.whole("clock_drift_ppm", n.clockDriftPpm(), 0, 1_000),
                (int) t.whole("connections", n.maxConnections(), 0, 1_000_000),
                t.whole("young_us", n.coldStartUs(), 0, 1_000_000));
        double warmUp = t.number("warm_up", s.warmUpSeconds(), 0, seconds / 2);
        t.done();
        return new Scenario(
                s.site(), seconds, warmUp, s.forwarders(), s.policy(), s.planners(), traffic, network, List.of());
    }

    private static Scenario variant(Table v, Scenario scenario, List<Fault> common) {
        String policy = v.text("policy", BaselinePolicies.OURS);
        if (!BaselinePolicies.names().contains(policy)) {
            v.problem("policy", "is one of " + String.join(", ", BaselinePolicies.names()));
            policy = BaselinePolicies.OURS;
        }
        PlannerSpec usual = PlannerSpec.defaults((int) v.whole("planners", 0, 0, 16));
        PlannerSpec planners = new PlannerSpec(
                usual.count(),
                v.whole("report_ms", usual.reportMs(), 50, 2_000),
                v.whole("plan_ms", usual.planMs(), 50, 2_000),
                v.whole("lease_ms", usual.leaseMs(), 300, 10_000),
                v.whole("fade_ms", usual.fadeMs(), 500, 60_000),
                usual.driftPpm());
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
            faults.add(new Fault(
                    t.number("at", 0, 0, 3_600),
                    kind,
                    (int) t.whole("who", -1, -1, MOST_NODES),
                    (int) t.whole("count", 1, 1, 10_000),
                    t.number("every", 0, 0, 3_600),
                    t.number("lasts", 0, 0, 3_600),
                    t.number("value", 0, 0, 1_000)));
            t.done();
        }
        return faults;
    }
}
