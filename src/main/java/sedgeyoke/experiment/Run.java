package sedgeyoke.experiment;

import com.fasterxml.jackson.databind.PropertyNamingStrategies.SnakeCaseStrategy;
import com.fasterxml.jackson.databind.annotation.JsonNaming;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sedgeyoke.simulation.Outcome;

/**
 * One finished run, as a line of {@code runs.jsonl} keeps it; all figures and the report come from these alone, so that
 * an experiment that was broken off goes on from them.
 *
 * @param schema of this line
 * @param experiment name of the file
 * @param fileSha256 digest of the file's text
 * @param point what was swept, such as {@code forwarders=30}; empty for nothing
 * @param latencyMs times of served answers at {@link #PERCENTILES}
 * @param meanMsBySecond mean time of served answers, by when the request was first wanted
 * @param nodes true utilisation of each node by second, -1 while it was not there; for the first seed alone
 * @param handshakesPerRequest connections opened to nodes
 * @param crossingsPerRequest attempts to nodes of another zone
 * @param violations the first broken rules, in words
 */
@JsonNaming(SnakeCaseStrategy.class)
record Run(
        int schema,
        String experiment,
        String fileSha256,
        String point,
        String variant,
        long seed,
        double service,
        long requests,
        long attempts,
        double p50Ms,
        double p99Ms,
        double warmUpS,
        double coldPeak,
        double utilisation,
        double handshakesPerRequest,
        double crossingsPerRequest,
        int ruleViolations,
        long events,
        List<Double> latencyMs,
        List<Double> serviceBySecond,
        List<Double> meanMsBySecond,
        Map<String, List<Double>> nodes,
        List<String> violations) {
    static final int SCHEMA = 3;
    static final List<Double> PERCENTILES = List.of(1.0, 5.0, 10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 100.0);
    private static final double DIGITS = 1e5;

    /** What a run showed; {@code whole} keeps the nodes, too. */
    static Run of(ExperimentFile file, ExperimentFile.Point point, String variant, Outcome o, boolean whole) {
        Map<String, List<Double>> nodes = new LinkedHashMap<>();
        if (whole) {
            o.upstreamUtilisation()
                    .forEach((id, row) -> nodes.put(
                            id,
                            row.stream().map(u -> Math.round(u * 100) / 100.0).toList()));
        }
        return new Run(
                SCHEMA,
                file.name(),
                file.digest(),
                point.label(),
                variant,
                o.seed(),
                o.service(),
                o.requests(),
                o.attempts(),
                o.percentileMs(50),
                o.percentileMs(99),
                o.meanWarmUpSeconds(),
                o.coldPeak(),
                o.utilisation(),
                o.handshakesPerRequest(),
                o.crossingsPerRequest(),
                o.totalViolations(),
                o.events(),
                PERCENTILES.stream().map(o::percentileMs).toList(),
                o.seconds().stream().map(s -> round(s.service())).toList(),
                o.seconds().stream().map(s -> round(s.meanMs())).toList(),
                nodes,
                o.violationMessages());
    }

    static double round(double figure) {
        return Math.round(figure * DIGITS) / DIGITS;
    }

    double attemptsPerRequest() {
        return requests == 0 ? 0 : attempts / (double) requests;
    }

    Key key() {
        return new Key(point, variant, seed);
    }

    /** What tells runs of one experiment apart. */
    record Key(String point, String variant, long seed) {}
}
