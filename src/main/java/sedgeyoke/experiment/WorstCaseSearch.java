package sedgeyoke.experiment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
import sedgeyoke.simulation.Outcome;
import sedgeyoke.simulation.Scenario;
import sedgeyoke.simulation.Scenario.Fault;
import sedgeyoke.simulation.Scenario.Kind;
import sedgeyoke.simulation.Simulation;

/**
 * Looks through the scenarios that a file allows for the one in which a variant does worst, by a broken rule or by what
 * it loses against another one, and makes that one small: fewest faults, balancers, nodes and seconds that still show
 * it. The same seed finds the same, however many runs go side by side.
 */
public final class WorstCaseSearch {
    /** Both sides are played with so many seeds: one alone may be luck. */
    private static final int PLAYS = 2;
    /** A smaller scenario must still show that part of the loss. */
    private static final double STILL = 0.7;
    /** Less than that is no loss worth a file. */
    private static final double LEAST_LOSS = 0.002;

    private static final double BROKEN = 1_000;
    private static final int MOST_STEPS = 80;
    private static final int FEWEST_FORWARDERS = 3;
    private static final int FEWEST_NODES = 3;
    private static final double LEAST_SECONDS = 4;
    private static final double MOST_LASTS = 8;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final ExperimentFile file;
    private final ExperimentFile.HuntSpec spec;
    private final long seed;
    private final int jobs;
    private final Path out;
    private final PrintWriter say;
    private long played;

    /** {@code out} is the folder for what is found. */
    public WorstCaseSearch(ExperimentFile file, long seed, int jobs, Path out, PrintWriter say) {
        this.file = file;
        this.spec = file.hunt();
        this.seed = seed;
        this.jobs = jobs;
        this.out = out;
        this.say = say;
    }

    /** How bad a draft is for the variant: above {@link #BROKEN} it broke rules, else what it loses. */
    private record Found(ScenarioDraft draft, double badness) {
        boolean broken() {
            return badness >= BROKEN;
        }

        boolean asBad(double other) {
            return broken() ? other >= BROKEN : other >= STILL * badness;
        }
    }

    /** Hunts; {@code found} says whether anything was, and {@code file} where it is. */
    public ObjectNode run() throws IOException, InterruptedException {
        ExecutorService pool = WorkerThreads.pool(jobs);
        try {
            Found worst = search(pool);
            ObjectNode figures = JSON.createObjectNode()
                    .put("experiment", file.name())
                    .put("seed", seed)
                    .put("variant", spec.variant())
                    .put("against", spec.against())
                    .put("tries", spec.tries());
            if (worst == null || worst.badness() < LEAST_LOSS) {
                return figures.put("plays", played).put("found", false).put("rule_broken", false);
            }
            Found small = shrink(pool, worst);
            Files.createDirectories(out);
            Path at = out.resolve(file.name() + "-" + seed + ".toml");
            Files.writeString(at, small.draft().text());
            if (!small.broken()) {
                figures.put("loss", Run.round(small.badness()));
            }
            return figures.put("plays", played)
                    .put("found", true)
                    .put("rule_broken", small.broken())
                    .put("faults", small.draft().faults().size())
                    .put("faults_drawn", worst.draft().faults().size())
                    .put("file", at.toString());
        } catch (ExecutionException e) {
            throw new IllegalStateException("a run failed: " + e.getCause(), e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }

    private Found search(ExecutorService pool) throws InterruptedException, ExecutionException {
        SplittableRandom random = new SplittableRandom(seed);
        List<ScenarioDraft> drafts = new ArrayList<>();
        for (int i = 0; i < spec.tries(); i++) {
            drafts.add(draw(random.split()));
        }
        List<Double> badness = judge(pool, drafts);
        Found worst = null;
        for (int i = 0; i < drafts.size(); i++) {
            if (worst == null || badness.get(i) > worst.badness()) {
                worst = new Found(drafts.get(i), badness.get(i));
            }
        }
        if (worst != null) {
            say.printf(Locale.ROOT, "worst of %d: %s%n", drafts.size(), said(worst));
            say.flush();
        }
        return worst;
    }

    private static String said(Found found) {
        return (found.broken() ? "breaks rules" : String.format(Locale.ROOT, "loses %.5f", found.badness())) + " with "
                + found.draft().faults().size() + " faults, " + found.draft().scenario();
    }

    private ScenarioDraft draw(SplittableRandom random) {
        Map<String, Object> scenario = new LinkedHashMap<>(spec.scenario());
        spec.ranges().forEach((key, range) -> scenario.put(key, drawn(key, range, random)));
        double seconds = scenario.get("seconds") instanceof Number n ? n.doubleValue() : 30;
        List<Fault> faults = new ArrayList<>();
        int count = spec.mostFaults() == 0 ? 0 : 1 + random.nextInt(spec.mostFaults());
        for (int i = 0; i < count; i++) {
            Kind kind = spec.kinds().get(random.nextInt(spec.kinds().size()));
            double value =
                    switch (kind) {
                        case ZONE_LOAD, SLOW_NODE -> 1 + 2 * random.nextDouble();
                        case DRAIN_NODE -> 1 + 3 * random.nextDouble();
                        default -> 0;
                    };
            faults.add(new Fault(
                    seconds * (0.2 + 0.6 * random.nextDouble()),
                    kind,
                    random.nextInt(1_000),
                    1,
                    0,
                    1 + (MOST_LASTS - 1) * random.nextDouble(),
                    value));
        }
        Map<String, Object> compare = new LinkedHashMap<>();
        compare.put("base", spec.against().isEmpty() ? spec.variant() : spec.against());
        if (!spec.against().isEmpty()) {
            compare.put("with", spec.variant());
        }
        return new ScenarioDraft(
                "Found by a hunt of " + file.name() + " with seed " + seed, scenario, faults, spec.variants(), compare);
    }

    /** Sizes are drawn by their logarithm: between 3 and 300, small ones matter as much. */
    private static Object drawn(String key, double[] range, SplittableRandom random) {
        boolean size = List.of("nodes", "forwarders", "keys", "burst").contains(key);
        double x = random.nextDouble();
        if (size) {
            double low = Math.max(1, range[0]);
            return Math.round(low * Math.pow(Math.max(1, range[1]) / low, x));
        }
        double value = range[0] + x * (range[1] - range[0]);
        return key.endsWith("_us") || key.endsWith("_ms") ? (Object) Math.round(value) : value;
    }

    // ---- Judging -------------------------------------------------------------------------------------

    private List<Double> judge(ExecutorService pool, List<ScenarioDraft> drafts)
            throws InterruptedException, ExecutionException {
        List<Future<Double>> playing = new ArrayList<>();
        for (ScenarioDraft d : drafts) {
            playing.add(pool.submit(() -> badness(d)));
        }
        List<Double> badness = new ArrayList<>();
        for (Future<Double> f : playing) {
            badness.add(f.get());
        }
        played += drafts.size();
        return badness;
    }

    private double badness(ScenarioDraft draft) throws InvalidExperimentException {
        Map<String, Scenario> variants = ExperimentFile.parse(Path.of(file.name() + "-draft.toml"), draft.text())
                .points()
                .get(0)
                .variants();
        double loss = 0;
        for (int i = 0; i < PLAYS; i++) {
            Outcome ours = new Simulation(variants.get(spec.variant()), seed + i).run();
            if (ours.totalViolations() > 0) {
                return BROKEN + ours.totalViolations();
            }
            loss += spec.against().isEmpty()
                    ? 0
                    : new Simulation(variants.get(spec.against()), seed + i)
                                    .run()
                                    .service()
                            - ours.service();
        }
        return loss / PLAYS;
    }

    // ---- Making it small -----------------------------------------------------------------------------

    /** Takes whatever step still shows it, the largest ones first, until none does. */
    private Found shrink(ExecutorService pool, Found worst) throws InterruptedException, ExecutionException {
        Found small = worst;
        for (int step = 0; step < MOST_STEPS; step++) {
            List<ScenarioDraft> smaller = smaller(small.draft());
            List<Double> badness = judge(pool, smaller);
            Found next = null;
            for (int i = 0; i < smaller.size() && next == null; i++) {
                next = worst.asBad(badness.get(i)) ? new Found(smaller.get(i), badness.get(i)) : null;
            }
            if (next == null) {
                break;
            }
            small = next;
        }
        say.printf(Locale.ROOT, "made small: %s%n", said(small));
        say.flush();
        return small;
    }

    private static List<ScenarioDraft> smaller(ScenarioDraft d) {
        List<ScenarioDraft> smaller = new ArrayList<>();
        for (int i = 0; i < d.faults().size(); i++) {
            smaller.add(d.without(i));
        }
        halve(d, "forwarders", FEWEST_FORWARDERS, smaller);
        halve(d, "nodes", FEWEST_NODES, smaller);
        double seconds = d.scenario().get("seconds") instanceof Number n ? n.doubleValue() : 30;
        double last = d.faults().stream().mapToDouble(Fault::startSeconds).max().orElse(0);
        if (0.75 * seconds >= Math.max(LEAST_SECONDS, last + 2)) {
            smaller.add(d.with("seconds", 0.75 * seconds));
        }
        return smaller;
    }

    private static void halve(ScenarioDraft d, String key, int least, List<ScenarioDraft> smaller) {
        if (d.scenario().get(key) instanceof Number n && n.longValue() > least) {
            smaller.add(d.with(key, Math.max(least, n.longValue() / 2)));
        }
    }
}
