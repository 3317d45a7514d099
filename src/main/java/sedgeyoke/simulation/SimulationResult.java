package sedgeyoke.simulation;

import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * The results of one run; identical for the same scenario and seed.
 *
 * @param seed the seed of the run
 * @param service priority weight served within the latency objective over that offered, after the warm-up
 * @param requests operations of clients, without their retries
 * @param attempts requests that were sent to upstreams
 * @param handshakes connections that were opened to upstreams
 * @param crossZoneAttempts attempts that were sent to another zone
 * @param latency latency of served operations from their start, in microseconds
 * @param answers final answers by kind
 * @param violations number of violations of each rule
 * @param violationMessages descriptions of the first violations
 * @param coldPeak the highest load on an upstream in slow start, as a share of the load that overloads it
 * @param warmUps seconds from each upstream start until the upstream received its share of the traffic
 * @param utilisation true utilisation of all cores after the warm-up
 * @param seconds results by second
 * @param upstreamUtilisation true utilisation of each upstream by second, -1 while it was not running
 * @param events number of events that were simulated
 */
public record SimulationResult(
        long seed,
        double service,
        long requests,
        long attempts,
        long handshakes,
        long crossZoneAttempts,
        Histogram latency,
        Map<String, Integer> answers,
        Map<Integer, Integer> violations,
        List<String> violationMessages,
        double coldPeak,
        List<Double> warmUps,
        double utilisation,
        List<Second> seconds,
        Map<String, List<Double>> upstreamUtilisation,
        long events) {

    /**
     * Results of the operations that started in one second.
     *
     * @param service priority weight served within the latency objective over that offered
     * @param operations number of operations started
     * @param rejected requests that were rejected
     * @param failed requests that failed
     * @param meanMs mean latency of served operations
     * @param maxMs longest latency of served operations
     */
    public record Second(double service, long operations, long rejected, long failed, double meanMs, double maxMs) {}

    /** Violations of all rules. */
    public int totalViolations() {
        return violations.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Mean latency of served operations, in microseconds. */
    public double meanLatencyMicros() {
        return latency.getMean();
    }

    /** A percentile of the latency of served operations, in milliseconds. */
    public double percentileMs(double percent) {
        return latency.getValueAtPercentile(percent) / 1e3;
    }

    /** Mean of {@link #warmUps}; 0 if no upstream was started. */
    public double meanWarmUpSeconds() {
        return warmUps.stream().mapToDouble(Double::doubleValue).average().orElse(0);
    }

    /** Connections opened per operation. */
    public double handshakesPerRequest() {
        return requests == 0 ? 0 : handshakes / (double) requests;
    }

    /** Attempts sent to another zone per operation. */
    public double crossingsPerRequest() {
        return requests == 0 ? 0 : crossZoneAttempts / (double) requests;
    }

    /** Attempts per operation. */
    public double attemptsPerRequest() {
        return requests == 0 ? 0 : attempts / (double) requests;
    }
}
