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
import java.util.Map;
import java.util.function.Function;
import sedgeyoke.simulation.Scenario;

/**
 * An experiment as one page that needs no network: the plotting library and the data stand in it. What is drawn is
 * computed here; the page only draws.
 */
final class Report {
    private static final String PAGE = "/sedgeyoke/experiment/report.html";
    private static final String PLOTS = "/META-INF/resources/webjars/echarts/5.3.1/dist/echarts.min.js";
    private static final ObjectMapper JSON = new ObjectMapper();

    private Report() {}

    /** The page. */
    static String of(ExperimentFile file, List<Run> runs, ObjectNode figures) throws IOException {
        // Whatever stands in a title or an id must not end the script that it stands in.
        String data = JSON.writeValueAsString(data(file, runs, figures)).replace("<", "\\u003c");
        return text(PAGE)
                .replace("/*PLOTS*/", text(PLOTS).replace("</script", "<\\/script"))
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

    /** What the page draws. */
    static ObjectNode data(ExperimentFile file, List<Run> runs, ObjectNode figures) {
        ObjectNode data = JSON.createObjectNode()
                .put("title", file.title())
                .put("name", file.name())
                .put("base", file.base())
                .put("first_seed", figures.path("first_seed").asLong())
                .put("seeds", figures.path("seeds").asInt());
        data.set("figures", figures);
        ArrayNode percentiles = data.putArray("percentiles");
        Run.PERCENTILES.forEach(percentiles::add);
        ArrayNode points = data.putArray("points");
        for (ExperimentFile.Point point : file.points()) {
            ObjectNode p = points.addObject().put("label", point.label());
            ArrayNode variants = p.putArray("variants");
            point.variants()
                    .forEach((name, scenario) -> variants.add(variant(
                            name,
                            scenario,
                            runs.stream()
                                    .filter(r -> r.point().equals(point.label())
                                            && r.variant().equals(name))
                                    .toList())));
        }
        return data;
    }

    private static ObjectNode variant(String name, Scenario scenario, List<Run> runs) {
        ObjectNode v = JSON.createObjectNode()
                .put("name", name)
                .put("policy", scenario.policy())
                .put("planners", scenario.planners().count());
        ArrayNode faults = v.putArray("faults");
        for (Scenario.Fault f : scenario.faults()) {
            faults.addObject()
                    .put("at", f.startSeconds())
                    .put("what", Table.name(f.kind()))
                    .put("count", f.count())
                    .put(
                            "until",
                            f.startSeconds() + f.intervalSeconds() * Math.max(0, f.count() - 1) + f.durationSeconds());
        }
        put(v, "service_by_second", mean(runs, Run::serviceBySecond));
        put(v, "mean_ms_by_second", mean(runs, Run::meanMsBySecond));
        put(v, "latency_ms", mean(runs, Run::latencyMs));
        put(v, "service", runs.stream().map(Run::service).toList());
        put(v, "cold_peak", runs.stream().map(Run::coldPeak).toList());
        put(v, "attempts", runs.stream().map(Run::attemptsPerRequest).toList());
        ObjectNode nodes = v.putObject("nodes");
        for (Run r : runs) {
            for (Map.Entry<String, List<Double>> row : r.nodes().entrySet()) {
                put(nodes, row.getKey(), row.getValue());
            }
        }
        return v;
    }

    private static void put(ObjectNode to, String name, List<Double> figures) {
        ArrayNode array = to.putArray(name);
        figures.forEach(f -> array.add(Run.round(f)));
    }

    /** Place by place over the runs that have one there. */
    static List<Double> mean(List<Run> runs, Function<Run, List<Double>> of) {
        int most = runs.stream().mapToInt(r -> of.apply(r).size()).max().orElse(0);
        List<Double> means = new ArrayList<>();
        for (int i = 0; i < most; i++) {
            int place = i;
            means.add(runs.stream()
                    .map(of)
                    .filter(l -> l.size() > place)
                    .mapToDouble(l -> l.get(place))
                    .average()
                    .orElse(0));
        }
        return means;
    }
}
