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
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import sedgeyoke.simulation.BaselinePolicies;
import sedgeyoke.simulation.QueueingTheory;
import sedgeyoke.simulation.Simulation;

/** Plays all variants of an experiment with the same seeds, side by side, and says what differs. */
public final class Experiment {
    private static final int MOST_BROKEN = 10;
    private static final double THEORY_SCALE = 1;
    private static final double THEORY_WITHIN = 0.03;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final ExperimentFile file;
    private final Plan plan;
    private final PrintWriter say;
    private int done;

    /**
     * How it is played.
     *
     * @param firstSeed of those that each variant is played with
     * @param seeds runs of each variant at each point
     * @param jobs runs side by side
     * @param out a folder for the runs and the report, or null
     * @param resume whether to go on from the runs that are there
     */
    public record Plan(long firstSeed, int seeds, int jobs, Path out, boolean resume) {}

    /** Progress goes to {@code say}. */
    public Experiment(ExperimentFile file, Plan plan, PrintWriter say) {
        this.file = file;
        this.plan = plan;
        this.say = say;
    }

    /** Plays it and returns the figures; {@code ok} is false where a rule was broken or theory is missed. */
    public ObjectNode run() throws IOException, InterruptedException, InvalidExperimentException {
        return file.theory() ? theory() : compare();
    }

    private ObjectNode theory() {
        List<QueueingTheory.Check> checks = QueueingTheory.checks(THEORY_SCALE, plan.firstSeed());
        double worst = 0;
        for (QueueingTheory.Check c : checks) {
            say.printf(
                    Locale.ROOT,
                    "%-70s expected %.5f, seen %.5f, off by %.2f%%%n",
                    c.name(),
                    c.expected(),
                    c.measured(),
                    100 * c.relativeError());
            worst = Math.max(worst, c.relativeError());
        }
        say.flush();
        return JSON.createObjectNode()
                .put("experiment", file.name())
                .put("seed", plan.firstSeed())
                .put("checks", checks.size())
                .put("worst_relative_error", Run.round(worst))
                .put("ok", worst <= THEORY_WITHIN);
    }

    private ObjectNode compare() throws IOException, InterruptedException, InvalidExperimentException {
        RunLog kept = plan.out() == null ? null : new RunLog(plan.out());
        Map<Run.Key, Run> before = kept != null && plan.resume() ? kept.read(file) : Map.of();
        if (kept != null && !plan.resume()) {
            kept.clear();
        }
        List<Run> runs = play(kept, before);
        if (kept != null) {
            kept.finish(runs);
        }
        ObjectNode figures = figures(runs);
        if (plan.out() != null) {
            Files.writeString(plan.out().resolve("report.html"), Report.of(file, runs, figures));
        }
        return figures;
    }

    // ---- Runs ----------------------------------------------------------------------------------------

    private List<Run> play(RunLog kept, Map<Run.Key, Run> before) throws IOException, InterruptedException {
        ExecutorService pool = WorkerThreads.pool(plan.jobs());
        long startedAt = System.nanoTime();
        int all = file.points().stream().mapToInt(p -> p.variants().size()).sum() * plan.seeds();
        Map<Run.Key, Future<Run>> playing = new LinkedHashMap<>();
        try {
            for (ExperimentFile.Point point : file.points()) {
                for (int i = 0; i < plan.seeds(); i++) {
                    long seed = plan.firstSeed() + i;
                    for (String variant : point.variants().keySet()) {
                        Run.Key key = new Run.Key(point.label(), variant, seed);
                        if (!before.containsKey(key)) {
                            playing.put(key, pool.submit(() -> {
                                Run run = Run.of(
                                        file,
                                        point,
                                        variant,
                                        new Simulation(point.variants().get(variant), seed).run(),
                                        seed == plan.firstSeed());
                                if (kept != null) {
                                    kept.add(run);
                                }
                                progress(all - before.size(), startedAt);
                                return run;
                            }));
                        }
                    }
                }
            }
            return inOrder(before, playing);
        } catch (ExecutionException e) {
            throw new IllegalStateException("a run failed: " + e.getCause(), e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }

    /** By point, variant and seed. */
    private List<Run> inOrder(Map<Run.Key, Run> before, Map<Run.Key, Future<Run>> playing)
            throws InterruptedException, ExecutionException {
        List<Run> runs = new ArrayList<>();
        for (ExperimentFile.Point point : file.points()) {
            for (String variant : point.variants().keySet()) {
                for (int i = 0; i < plan.seeds(); i++) {
                    Run.Key key = new Run.Key(point.label(), variant, plan.firstSeed() + i);
                    runs.add(
                            before.containsKey(key)
                                    ? before.get(key)
                                    : playing.get(key).get());
                }
            }
        }
        return runs;
    }

    private synchronized void progress(int all, long startedAt) {
        done++;
        double took = (System.nanoTime() - startedAt) / 1e9;
        if (done % Math.max(1, all / 10) == 0) {
            say.printf(Locale.ROOT, "%d of %d runs, about %.0f s left%n", done, all, took / done * (all - done));
            say.flush();
        }
    }

    // ---- Figures -------------------------------------------------------------------------------------

    private static double[] each(List<Run> runs, ToDoubleFunction<Run> figure) {
        return runs.stream().mapToDouble(figure).toArray();
    }

    private static double mean(List<Run> runs, ToDoubleFunction<Run> figure) {
        return runs.stream().mapToDouble(figure).average().orElse(0);
    }

    private ObjectNode figures(List<Run> runs) {
        ObjectNode figures = JSON.createObjectNode()
                .put("experiment", file.name())
                .put("seeds", plan.seeds())
                .put("first_seed", plan.firstSeed());
        if (file.points().size() == 1) {
            compared(figures, file.points().get(0), runs);
        } else {
            for (ExperimentFile.Point point : file.points()) {
                ObjectNode at = JSON.createObjectNode();
                if (!point.day().isEmpty()) {
                    at.put("day", point.day());
                }
                point.at().forEach((key, value) -> at.put(key, value));
                ObjectNode p = figures.withArray("points").addObject();
                p.set("at", at);
                compared(
                        p,
                        point,
                        runs.stream()
                                .filter(r -> r.point().equals(point.label()))
                                .toList());
            }
        }
        say.flush();
        return broken(figures, runs);
    }

    /** What the variants of one point show. */
    private void compared(ObjectNode figures, ExperimentFile.Point point, List<Run> runs) {
        Function<String, List<Run>> of =
                name -> runs.stream().filter(r -> r.variant().equals(name)).toList();
        ObjectNode service = figures.putObject("service");
        ObjectNode variants = figures.putObject("variants");
        List<Run> base = of.apply(file.base());
        for (String name : point.variants().keySet()) {
            List<Run> all = of.apply(name);
            service.put(name, Run.round(mean(all, Run::service)));
            ObjectNode v = variants.putObject(name)
                    .put("service", Run.round(mean(all, Run::service)))
                    .put("p50_ms", Run.round(mean(all, Run::p50Ms)))
                    .put("p99_ms", Run.round(mean(all, Run::p99Ms)))
                    .put("attempts_per_request", Run.round(mean(all, Run::attemptsPerRequest)))
                    .put("utilisation", Run.round(mean(all, Run::utilisation)))
                    .put("handshakes_per_request", Run.round(mean(all, Run::handshakesPerRequest)))
                    .put("crossings_per_request", Run.round(mean(all, Run::crossingsPerRequest)))
                    .put("warm_up_s", Run.round(mean(all, Run::warmUpS)))
                    .put(
                            "cold_peak_share_of_budget",
                            Run.round(all.stream()
                                    .mapToDouble(Run::coldPeak)
                                    .max()
                                    .orElse(0)))
                    .put(
                            "rule_violations",
                            all.stream().mapToInt(Run::ruleViolations).sum());
            if (!name.equals(file.base())) {
                put(
                        v.putObject("service_over_" + file.base()),
                        PairedBootstrap.of(each(all, Run::service), each(base, Run::service)));
            }
            say.println((point.label() + " " + name).strip() + " " + v);
        }
        if (!file.with().isEmpty()) {
            List<Run> with = of.apply(file.with());
            PairedBootstrap gain = PairedBootstrap.of(each(with, Run::service), each(base, Run::service));
            figures.put("service_gain", Run.round(gain.mean()))
                    .put("service_gain_low", Run.round(gain.low()))
                    .put("service_gain_high", Run.round(gain.high()))
                    .put("warm_up_s", Run.round(mean(with, Run::warmUpS)))
                    .put("warm_up_s_without", Run.round(mean(base, Run::warmUpS)));
            if (!file.failing().isEmpty()) {
                failing(figures, of.apply(file.failing()), with);
            }
        }
    }

    private static void put(ObjectNode to, PairedBootstrap p) {
        to.put("mean", Run.round(p.mean()))
                .put("low", Run.round(p.low()))
                .put("high", Run.round(p.high()))
                .put("wins", p.wins())
                .put("losses", p.losses());
    }

    private static void failing(ObjectNode figures, List<Run> failing, List<Run> with) {
        double least = 1;
        for (int i = 0; i < with.size(); i++) {
            least = Math.min(least, failing.get(i).service() / with.get(i).service());
        }
        figures.put("ratio_failing", Run.round(mean(failing, Run::service) / mean(with, Run::service)))
                .put("ratio_failing_least", Run.round(least));
    }

    /** Rules count in our own variants alone. */
    private ObjectNode broken(ObjectNode figures, List<Run> runs) {
        Map<String, String> policies = new LinkedHashMap<>();
        file.points().forEach(p -> p.variants().forEach((name, s) -> policies.put(name, s.policy())));
        List<Run> ours = runs.stream()
                .filter(r -> policies.get(r.variant()).equals(BaselinePolicies.OURS))
                .toList();
        List<String> broken = new ArrayList<>();
        ours.forEach(r -> r.violations()
                .forEach(text ->
                        broken.add((r.point() + " " + r.variant()).strip() + ", seed " + r.seed() + ": " + text)));
        int violations = ours.stream().mapToInt(Run::ruleViolations).sum();
        figures.put("rule_violations", violations)
                .put(
                        "cold_peak_share_of_budget",
                        Run.round(ours.stream().mapToDouble(Run::coldPeak).max().orElse(0)));
        broken.stream().limit(MOST_BROKEN).forEach(figures.withArray("violations")::add);
        return figures.put("ok", violations == 0);
    }
}
