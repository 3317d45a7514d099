package sedgeyoke.drill;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CyclicBarrier;
import sedgeyoke.model.InvariantChecker;

/**
 * Measures how failing planners affect the service. Three runs with the same site, traffic and node faults go on at the
 * same time: with
 * planners that are killed, stalled and partitioned; with planners without faults; and without planners.
 */
public final class PlannersDrill {
    /** Default offered load, as a share of the nodes' capacity with cold keys. */
    public static final String DEFAULT_LOAD = "0.62";

    private static final int MAX_VIOLATIONS = 10;
    private static final double MIN_SERVICE_RATIO = 0.98;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Options options;
    private final PrintWriter out;

    /** The state of the planners in a run. */
    enum Mode {
        FAILING,
        QUIET,
        NONE;

        String label() {
            return toString().toLowerCase(Locale.ROOT);
        }
    }

    /** Options that all three runs share. */
    record Options(int seconds, long seed, double load) {}

    /** {@code load} is offered as a share of the capacity of nodes with cold keys; progress goes to {@code out}. */
    public PlannersDrill(int seconds, long seed, double load, PrintWriter out) {
        this.options = new Options(seconds, seed, load);
        this.out = out;
    }

    /** Runs all modes and returns the metrics; {@code ok} is false if one misses its target. */
    public ObjectNode run() throws IOException, InterruptedException {
        CyclicBarrier allStarted = new CyclicBarrier(Mode.values().length);
        Map<Mode, CompletableFuture<PlannersRun.Result>> runs = new EnumMap<>(Mode.class);
        for (Mode mode : Mode.values()) {
            PlannersRun run = new PlannersRun(mode, options, allStarted, this::printProgress);
            runs.put(mode, CompletableFuture.supplyAsync(() -> runUnchecked(run), task -> new Thread(task).start()));
        }
        Map<Mode, PlannersRun.Result> results = new EnumMap<>(Mode.class);
        for (Map.Entry<Mode, CompletableFuture<PlannersRun.Result>> run : runs.entrySet()) {
            try {
                results.put(run.getKey(), run.getValue().join());
            } catch (CompletionException e) {
                throw new IOException(e.getCause());
            }
        }
        return metrics(results);
    }

    private static PlannersRun.Result runUnchecked(PlannersRun run) {
        try {
            return run.run();
        } catch (IOException | InterruptedException e) {
            throw new CompletionException(e);
        }
    }

    private synchronized void printProgress(Mode mode, String text) {
        out.println(String.format("%-8s %s", mode.label(), text));
        out.flush();
    }

    private ObjectNode metrics(Map<Mode, PlannersRun.Result> results) {
        InvariantChecker.Summary failing = results.get(Mode.FAILING).summary();
        InvariantChecker.Summary quiet = results.get(Mode.QUIET).summary();
        InvariantChecker.Summary none = results.get(Mode.NONE).summary();
        List<InvariantChecker.Summary> all = List.of(failing, quiet, none);
        int violations =
                all.stream().mapToInt(InvariantChecker.Summary::ruleViolations).sum();
        double slowStartPeak = all.stream()
                .mapToDouble(InvariantChecker.Summary::warmUpPeak)
                .max()
                .orElse(0);
        double maxStalledMs = results.values().stream()
                .mapToDouble(PlannersRun.Result::checkerStalledMs)
                .max()
                .orElse(0);
        ObjectNode metrics = JSON.createObjectNode()
                .put("drill", "planners")
                .put("seed", options.seed())
                .put("seconds", options.seconds())
                .put("service", round(failing.service()))
                .put("service_baseline", round(quiet.service()))
                .put("service_no_planners", round(none.service()))
                .put("ratio", round(failing.service() / quiet.service()))
                .put("rule_violations", violations)
                .put("cold_peak_share_of_budget", round(slowStartPeak))
                .put("planner_kills", results.get(Mode.FAILING).plannerKills())
                .put("requests", failing.requests())
                .put("p99_ms", round(failing.p99Ms()))
                .put("p99_ms_no_planners", round(none.p99Ms()))
                .put("load", options.load())
                .put("utilisation", round(results.get(Mode.FAILING).utilisation()))
                .put("judge_stalled_ms", round(maxStalledMs));
        addViolations(metrics.putArray("violations"), results);
        boolean served = failing.service() >= MIN_SERVICE_RATIO * quiet.service();
        return metrics.put("ok", served && violations == 0 && slowStartPeak <= 1);
    }

    private static void addViolations(ArrayNode array, Map<Mode, PlannersRun.Result> results) {
        results.forEach((mode, result) -> result.violations().stream()
                .limit(MAX_VIOLATIONS - array.size())
                .forEach(violation -> array.add(mode.label() + ": " + violation)));
    }

    /** Rounds to four decimal places. */
    static double round(double value) {
        return Math.round(value * 1e4) / 1e4;
    }
}
