package sedgeyoke.simulation;

import java.util.ArrayList;
import java.util.List;
import sedgeyoke.model.RequestClassModel.Spread;

/**
 * Validates the simulation against results of queueing theory: the mean time in the system of M/M/c (Erlang's C
 * formula) and of M/G/1 (the formula of Pollaczek and Khinchine), and the distribution of queue lengths under two
 * choices (Mitzenmacher 2001).
 */
public final class QueueingTheory {
    private static final double MEAN_WORK_SECONDS = 0.01;
    private static final String SINGLE_SERVER_POLICY = "random";

    private static final int TWO_CHOICES_SERVERS = 500;
    private static final double TWO_CHOICES_LOAD = 0.9;
    private static final int TWO_CHOICES_MAX_LENGTH = 3;
    private static final long TWO_CHOICES_WARM_UP_MICROS = 2_000_000;
    private static final long TWO_CHOICES_SAMPLE_MICROS = 50_000;
    private static final int TWO_CHOICES_SAMPLES = 600;

    private QueueingTheory() {}

    /**
     * One comparison.
     *
     * @param name what is compared
     * @param expected the theoretical value: seconds, or a share of servers
     * @param measured the value that the simulation gives
     */
    public record Check(String name, double expected, double measured) {
        /** The difference as a share of the expected value. */
        public double relativeError() {
            return Math.abs(measured - expected) / expected;
        }
    }

    /** Runs all comparisons; a {@code scale} of 1 takes some seconds of processor time, a larger one reduces noise. */
    public static List<Check> checks(double scale, long seed) {
        List<Check> checks = new ArrayList<>();
        for (int cores : new int[] {1, 2, 8}) {
            for (double load : new double[] {0.5, 0.8}) {
                checks.add(checkMmc(cores, load, scale, seed));
            }
        }
        checks.add(checkMg1(Spread.CONSTANT, 1, scale, seed));
        checks.add(checkMg1(Spread.BIMODAL, 0.1 * 5.5 * 5.5 + 0.9 * 0.25, scale, seed));
        checks.addAll(checkTwoChoices(scale, seed));
        return checks;
    }

    private static Check checkMmc(int cores, double load, double scale, long seed) {
        double seconds = (load > 0.6 ? 40_000 : 8_000) * scale / cores;
        Scenario scenario = Scenarios.queue(1, cores, load, Spread.EXPONENTIAL, SINGLE_SERVER_POLICY, seconds);
        double waiting = erlangC(cores, load) * MEAN_WORK_SECONDS / (cores * (1 - load));
        return new Check(
                "M/M/" + cores + " at " + load + ", mean time in the system (Erlang C)",
                MEAN_WORK_SECONDS + waiting,
                meanLatencySeconds(scenario, seed));
    }

    /** {@code secondMoment} is the second moment of the work divided by the square of its mean. */
    private static Check checkMg1(Spread spread, double secondMoment, double scale, long seed) {
        double load = 0.7;
        Scenario scenario = Scenarios.queue(1, 1, load, spread, SINGLE_SERVER_POLICY, 30_000 * scale);
        double waiting = load * MEAN_WORK_SECONDS * secondMoment / (2 * (1 - load));
        return new Check(
                "M/G/1 at " + load + " with " + spread + " work (Pollaczek and Khinchine)",
                MEAN_WORK_SECONDS + waiting,
                meanLatencySeconds(scenario, seed));
    }

    private static double meanLatencySeconds(Scenario scenario, long seed) {
        return new Simulation(scenario, seed).run().meanLatencyMicros() / 1e6;
    }

    /** The probability of having to wait in M/M/c, by Erlang's C formula. */
    static double erlangC(int cores, double load) {
        double offered = cores * load;
        double sum = 0;
        double term = 1;
        for (int k = 0; k < cores; k++) {
            sum += term;
            term *= offered / (k + 1);
        }
        double waiting = term / (1 - load);
        return waiting / (sum + waiting);
    }

    private static List<Check> checkTwoChoices(double scale, long seed) {
        double[] shares = twoChoicesShares(scale, seed);
        List<Check> checks = new ArrayList<>();
        for (int length = 1; length <= TWO_CHOICES_MAX_LENGTH; length++) {
            checks.add(new Check(
                    "two choices at " + TWO_CHOICES_LOAD + ", servers with " + length + " or more (Mitzenmacher)",
                    StrictMath.pow(TWO_CHOICES_LOAD, StrictMath.pow(2, length) - 1),
                    shares[length]));
        }
        return checks;
    }

    /** Mean share of servers with at least n requests, at index n. */
    private static double[] twoChoicesShares(double scale, long seed) {
        Simulation simulation = new Simulation(
                Scenarios.queue(TWO_CHOICES_SERVERS, 1, TWO_CHOICES_LOAD, Spread.EXPONENTIAL, "two-choices", 1e6),
                seed);
        simulation.start();
        simulation.advance(TWO_CHOICES_WARM_UP_MICROS);
        double[] shares = new double[TWO_CHOICES_MAX_LENGTH + 1];
        int samples = (int) (TWO_CHOICES_SAMPLES * scale);
        for (int sample = 0; sample < samples; sample++) {
            simulation.advance(TWO_CHOICES_SAMPLE_MICROS);
            for (int length = 1; length <= TWO_CHOICES_MAX_LENGTH; length++) {
                shares[length] += simulation.upstreamsWithAtLeast(length) / (double) TWO_CHOICES_SERVERS / samples;
            }
        }
        return shares;
    }
}
