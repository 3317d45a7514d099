package sedgeyoke.experiment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.FileNotFoundException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import sedgeyoke.simulation.Scenario;

/**
 * Renders an experiment's report as a self-contained HTML page, which embeds the plotting library and the data. All
 * values are computed here; the page only draws them.
 */
final class Report {
    private static final String PAGE_RESOURCE = "/sedgeyoke/experiment/report.html";
    private static final String PLOT_LIBRARY_RESOURCE = "/META-INF/resources/webjars/echarts/5.3.1/dist/echarts.min.js";
    private static final ObjectMapper JSON = new ObjectMapper();

    private Report() {}

    /** Returns the HTML page. */
    static String of(ExperimentFile file, List<Run> runs, ObjectNode figures) throws IOException {
        // escaped so that no title or id can close the script element that contains the data
        String data = JSON.writeValueAsString(data(file, runs, figures)).replace("<", "\\u003c");
        return text(PAGE_RESOURCE)
                .replace("/*PLOTS*/", text(PLOT_LIBRARY_RESOURCE).replace("</script", "<\\/script"))
                .replace("/*DATA*/", data);
    }

    private static String text(String resource) throws IOException {
        try (InputStream in = Report.class.getResourceAsStream(resource)) {
            if (in == null) {
                throw new FileNotFoundException(resource);
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Returns the data that the page draws. */
    static ObjectNode data(ExperimentFile file, List<Run> runs, ObjectNode figures) {
        ObjectNode data = JSON.createObjectNode()
                .put("title", file.title())
                .put("name", file.name())
                .put("base", file.comparison().base())
                .put("first_seed", figures.path("first_seed").asLong())
                .put("seeds", figures.path("seeds").asInt());
        data.set("figures", figures);
        ArrayNode percentiles = data.putArray("percentiles");
        Run.PERCENTILES.forEach(percentiles::add);
        ArrayNode points = data.putArray("points");
        for (ExperimentFile.Point point : file.points()) {
            addPoint(points.addObject(), point, runs);
        }
        return data;
    }

    private static void addPoint(ObjectNode node, ExperimentFile.Point point, List<Run> runs) {
        node.put("label", point.label());
        ArrayNode variants = node.putArray("variants");
        point.variants().forEach((name, scenario) -> {
            List<Run> own = runs.stream()
                    .filter(run ->
                            run.point().equals(point.label()) && run.variant().equals(name))
                    .toList();
            addVariant(variants.addObject(), name, scenario, own);
        });
    }

    private static void addVariant(ObjectNode variant, String name, Scenario scenario, List<Run> runs) {
        variant.put("name", name)
                .put("policy", scenario.policy())
                .put("planners", scenario.planners().count());
        ArrayNode faults = variant.putArray("faults");
        for (Scenario.Fault fault : scenario.faults()) {
            addFault(faults.addObject(), fault);
        }
        addNumbers(variant, "service_by_second", elementwiseMean(runs, Run::serviceBySecond));
        addNumbers(variant, "mean_ms_by_second", elementwiseMean(runs, Run::meanMsBySecond));
        addNumbers(variant, "latency_ms", elementwiseMean(runs, Run::latencyMs));
        addNumbers(variant, "service", runs.stream().map(Run::service).toList());
        addNumbers(variant, "cold_peak", runs.stream().map(Run::coldPeak).toList());
        addNumbers(
                variant, "attempts", runs.stream().map(Run::attemptsPerRequest).toList());
        ObjectNode nodes = variant.putObject("nodes");
        for (Run run : runs) {
            run.nodes().forEach((id, utilisation) -> addNumbers(nodes, id, utilisation));
        }
    }

    private static void addFault(ObjectNode node, Scenario.Fault fault) {
        double lastStart = fault.startSeconds() + fault.intervalSeconds() * Math.max(0, fault.count() - 1);
        node.put("at", fault.startSeconds())
                .put("what", CheckedTable.nameOf(fault.kind()))
                .put("count", fault.count())
                .put("until", lastStart + fault.durationSeconds());
    }

    private static void addNumbers(ObjectNode node, String name, List<Double> numbers) {
        ArrayNode array = node.putArray(name);
        numbers.forEach(number -> array.add(Run.round(number)));
    }

    /** Returns the mean at each index, over the runs whose series are long enough. */
    private static List<Double> elementwiseMean(List<Run> runs, Function<Run, List<Double>> series) {
        int length =
                runs.stream().mapToInt(run -> series.apply(run).size()).max().orElse(0);
        List<Double> means = new ArrayList<>();
        for (int i = 0; i < length; i++) {
            int index = i;
            means.add(runs.stream()
                    .map(series)
                    .filter(values -> values.size() > index)
                    .mapToDouble(values -> values.get(index))
                    .average()
                    .orElse(0));
        }
        return means;
    }
}
