package sedgeyoke.experiment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import sedgeyoke.simulation.BaselinePolicies;

/** Computes the figures of an experiment from its runs, as the JSON object that the command prints. */
final class ExperimentFigures {
    private static final int MAX_VIOLATIONS = 10;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final ExperimentFile file;
    private final Experiment.Options options;
    private final List<Run> runs;
    private final PrintWriter progress;

    ExperimentFigures(ExperimentFile file, Experiment.Options options, List<Run> runs, PrintWriter progress) {
        this.file = file;
        this.options = options;
        this.runs = runs;
        this.progress = progress;
    }

    ObjectNode compute() {
        ObjectNode figures = JSON.createObjectNode()
                .put("experiment", file.name())
                .put("seeds", options.seeds())
                .put("first_seed", options.firstSeed());
        if (file.points().size() == 1) {
            addPoint(figures, file.points().get(0));
        } else {
            ArrayNode points = figures.putArray("points");
            for (ExperimentFile.Point point : file.points()) {
                ObjectNode node = points.addObject();
                node.set("at", coordinates(point));
                addPoint(node, point);
            }
        }
        addViolations(figures);
        return figures;
    }

    private static ObjectNode coordinates(ExperimentFile.Point point) {
        ObjectNode at = JSON.createObjectNode();
        if (!point.day().isEmpty()) {
            at.put("day", point.day());
        }
        point.at().forEach((key, value) -> at.put(key, value));
        return at;
    }

    private List<Run> runsOf(ExperimentFile.Point point, String variant) {
        return runs.stream()
                .filter(run ->
                        run.point().equals(point.label()) && run.variant().equals(variant))
                .toList();
    }

    private void addPoint(ObjectNode figures, ExperimentFile.Point point) {
        ObjectNode service = figures.putObject("service");
        ObjectNode variants = figures.putObject("variants");
        List<Run> base = runsOf(point, file.comparison().base());
        for (String name : point.variants().keySet()) {
            List<Run> own = runsOf(point, name);
            service.put(name, mean(own, Run::service));
            ObjectNode variant = variants.putObject(name);
            addVariant(variant, own);
            if (!name.equals(file.comparison().base())) {
                addDifference(
                        variant.putObject("service_over_" + file.comparison().base()), own, base);
            }
            progress.println((point.label() + " " + name).strip() + " " + variant);
        }
        if (file.comparison().hasWith()) {
            addGain(figures, point, base);
        }
    }

    private static void addVariant(ObjectNode variant, List<Run> runs) {
        variant.put("service", mean(runs, Run::service))
                .put("p50_ms", mean(runs, Run::p50Ms))
                .put("p99_ms", mean(runs, Run::p99Ms))
                .put("attempts_per_request", mean(runs, Run::attemptsPerRequest))
                .put("utilisation", mean(runs, Run::utilisation))
                .put("handshakes_per_request", mean(runs, Run::handshakesPerRequest))
                .put("crossings_per_request", mean(runs, Run::crossingsPerRequest))
                .put("warm_up_s", mean(runs, Run::warmUpS))
                .put("cold_peak_share_of_budget", maxColdPeak(runs))
                .put("rule_violations", totalViolations(runs));
    }

    private static void addDifference(ObjectNode node, List<Run> runs, List<Run> base) {
        PairedBootstrap difference = serviceDifference(runs, base);
        node.put("mean", Run.round(difference.mean()))
                .put("low", Run.round(difference.low()))
                .put("high", Run.round(difference.high()))
                .put("wins", difference.wins())
                .put("losses", difference.losses());
    }

    private void addGain(ObjectNode figures, ExperimentFile.Point point, List<Run> base) {
        List<Run> with = runsOf(point, file.comparison().with());
        PairedBootstrap gain = serviceDifference(with, base);
        figures.put("service_gain", Run.round(gain.mean()))
                .put("service_gain_low", Run.round(gain.low()))
                .put("service_gain_high", Run.round(gain.high()))
                .put("warm_up_s", mean(with, Run::warmUpS))
                .put("warm_up_s_without", mean(base, Run::warmUpS));
        if (file.comparison().hasFailing()) {
            addFailing(figures, runsOf(point, file.comparison().failing()), with);
        }
    }

    /** Adds the ratio of the service with failing planners to the service with working ones. */
    private static void addFailing(ObjectNode figures, List<Run> failing, List<Run> with) {
        double leastRatio = 1;
        for (int i = 0; i < with.size(); i++) {
            leastRatio =
                    Math.min(leastRatio, failing.get(i).service() / with.get(i).service());
        }
        double ratio = exactMean(failing, Run::service) / exactMean(with, Run::service);
        figures.put("ratio_failing", Run.round(ratio)).put("ratio_failing_least", Run.round(leastRatio));
    }

    /** Adds the violations of the variants with the product's own policy; baseline policies do not count. */
    private void addViolations(ObjectNode figures) {
        Map<String, String> policies = new LinkedHashMap<>();
        for (ExperimentFile.Point point : file.points()) {
            point.variants().forEach((name, scenario) -> policies.put(name, scenario.policy()));
        }
        List<Run> own = runs.stream()
                .filter(run -> policies.get(run.variant()).equals(BaselinePolicies.OURS))
                .toList();
        int violations = totalViolations(own);
        figures.put("rule_violations", violations).put("cold_peak_share_of_budget", maxColdPeak(own));
        violationMessages(own).forEach(figures.putArray("violations")::add);
        figures.put("ok", violations == 0);
    }

    private static List<String> violationMessages(List<Run> runs) {
        List<String> messages = new ArrayList<>();
        for (Run run : runs) {
            String label = (run.point() + " " + run.variant()).strip() + ", seed " + run.seed();
            run.violations().forEach(violation -> messages.add(label + ": " + violation));
        }
        return messages.stream().limit(MAX_VIOLATIONS).toList();
    }

    private static PairedBootstrap serviceDifference(List<Run> runs, List<Run> base) {
        return PairedBootstrap.of(services(runs), services(base));
    }

    private static double[] services(List<Run> runs) {
        return runs.stream().mapToDouble(Run::service).toArray();
    }

    private static double mean(List<Run> runs, ToDoubleFunction<Run> figure) {
        return Run.round(exactMean(runs, figure));
    }

    private static double exactMean(List<Run> runs, ToDoubleFunction<Run> figure) {
        return runs.stream().mapToDouble(figure).average().orElse(0);
    }

    private static double maxColdPeak(List<Run> runs) {
        return Run.round(runs.stream().mapToDouble(Run::coldPeak).max().orElse(0));
    }

    private static int totalViolations(List<Run> runs) {
        return runs.stream().mapToInt(Run::ruleViolations).sum();
    }
}
