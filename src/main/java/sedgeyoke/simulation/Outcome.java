package sedgeyoke.simulation;

import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * What one run shows; the same for the same scenario and seed, to the last digit.
 *
 * @param seed it was played with
 * @param service worth answered in time over worth asked for, after the warm-up
 * @param requests wants of clients, without their retries
 * @param attempts requests that were sent to nodes
 * @param handshakes connections that were opened to nodes
 * @param crossings attempts that went to another zone
 * @param latency of answers that were served, from the first try, in microseconds
 * @param answers final answers by kind
 * @param violations how often each rule was broken
 * @param broken the first of them, in words
 * @param coldPeak the most that a cold node was sent, as a share of what makes it fall over
 * @param warmUps seconds from each cold start until the node had its share of the traffic
 * @param utilisation of all cores over the time after the warm-up, as it truly was
 * @param seconds service, requests and mean and longest time of answers, by second
 * @param nodes true utilisation of each node by second, -1 while it was not there
 * @param events how many things happened
 */
public record Outcome(
        long seed,
        double service,
        long requests,
        long attempts,
        long handshakes,
        long crossings,
        Histogram latency,
        Map<String, Integer> answers,
        Map<Integer, Integer> violations,
        List<String> broken,
        double coldPeak,
        List<Double> warmUps,
        double utilisation,
        List<Second> seconds,
        Map<String, List<Double>> nodes,
        long events) {

    /** One second, by when clients first wanted something. */
    public record Second(double service, long wanted, long refused, long failed, double meanMs, double mostMs) {}

    /** Rules broken, of all kinds. */
    public int ruleViolations() {
        return violations.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Mean time of served answers, in microseconds. */
    public double meanUs() {
        return latency.getMean();
    }

    /** A percentile of the time of served answers, in milliseconds. */
    public double percentileMs(double percent) {
        return latency.getValueAtPercentile(percent) / 1e3;
    }

    /** Mean time from a cold start to the node's share, in seconds; 0 without any start. */
    public double warmUp() {
        return warmUps.stream().mapToDouble(Double::doubleValue).average().orElse(0);
    }

    /** Connections opened for each request. */
    public double handshakesPerRequest() {
        return requests == 0 ? 0 : handshakes / (double) requests;
    }

    /** Attempts that crossed zones for each request. */
    public double crossingsPerRequest() {
        return requests == 0 ? 0 : crossings / (double) requests;
    }

    /** Attempts for each request. */
    public double attemptsPerRequest() {
        return requests == 0 ? 0 : attempts / (double) requests;
    }
}
