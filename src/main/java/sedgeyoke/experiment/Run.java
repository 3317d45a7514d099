package sedgeyoke.experiment;

import com.fasterxml.jackson.databind.PropertyNamingStrategies.SnakeCaseStrategy;
import com.fasterxml.jackson.databind.annotation.JsonNaming;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sedgeyoke.simulation.SimulationResult;

/**
 * A finished run, stored as a line of {@code runs.jsonl} with the component names as keys. All figures and the report
 * are computed from these lines alone, so that an interrupted experiment can be resumed.
 *
 * @param schema version of the line's format
 * @param experiment name of the experiment file
 * @param fileSha256 digest of the experiment file's text
 * @param point label of the day and the sweep point; empty if the experiment has neither
 * @param warmUpS mean seconds from an upstream's cold start until it gets its full share of the traffic
 * @param latencyMs latency of served operations at {@link #PERCENTILES}
 * @param meanMsBySecond mean latency of served operations, by the second in which the operation started
 * @param nodes true utilisation of each upstream by second, -1 while it did not exist; only for the first seed
 * @param handshakesPerRequest connections opened to upstreams, per request
 * @param crossingsPerRequest attempts sent to another zone, per request
 * @param violations descriptions of the first violations
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
    private static final double ROUNDING = 1e5;
    private static final double UTILISATION_ROUNDING = 100;

    /** Identifies a run within its experiment. */
    record Key(String point, String variant, long seed) {}

    /** Creates the record of a finished run; the utilisation of the upstreams is optional because it is large. */
    static Run of(
            ExperimentFile file,
            ExperimentFile.Point point,
            String variant,
            SimulationResult outcome,
            boolean withUpstreams) {
        return new Run(
                SCHEMA,
                file.name(),
                file.digest(),
                point.label(),
                variant,
                outcome.seed(),
                outcome.service(),
                outcome.requests(),
                outcome.attempts(),
                outcome.percentileMs(50),
                outcome.percentileMs(99),
                outcome.meanWarmUpSeconds(),
                outcome.coldPeak(),
                outcome.utilisation(),
                outcome.handshakesPerRequest(),
                outcome.crossingsPerRequest(),
                outcome.totalViolations(),
                outcome.events(),
                PERCENTILES.stream().map(outcome::percentileMs).toList(),
                outcome.seconds().stream()
                        .map(second -> round(second.service()))
                        .toList(),
                outcome.seconds().stream().map(second -> round(second.meanMs())).toList(),
                withUpstreams ? roundedUtilisation(outcome) : Map.of(),
                outcome.violationMessages());
    }

    private static Map<String, List<Double>> roundedUtilisation(SimulationResult outcome) {
        Map<String, List<Double>> rounded = new LinkedHashMap<>();
        outcome.upstreamUtilisation()
                .forEach((id, row) -> rounded.put(
                        id,
                        row.stream()
                                .map(value -> Math.round(value * UTILISATION_ROUNDING) / UTILISATION_ROUNDING)
                                .toList()));
        return rounded;
    }

    /** Rounds a figure to five decimal places. */
    static double round(double value) {
        return Math.round(value * ROUNDING) / ROUNDING;
    }

    double attemptsPerRequest() {
        return requests == 0 ? 0 : attempts / (double) requests;
    }

    Key key() {
        return new Key(point, variant, seed);
    }
}
