package sedgeyoke.simulation;

import java.util.ArrayList;
import java.util.List;
import sedgeyoke.model.RequestClassModel.Spread;

/** Runs whose results queueing theory knows, and how far off the emulator is. */
public final class QueueingTheory {
    private static final double MEAN_S = 0.01;

    private QueueingTheory() {}

    /** One comparison: mean time in the system in seconds, or a share of servers. */
    public record Check(String name, double expected, double seen) {
        /** How far off, as a share of what was expected. */
        public double relativeError() {
            return Math.abs(seen - expected) / expected;
        }
    }

    /** All of them; {@code scale} 1 takes some seconds of processor time, more of it narrows the noise. */
    public static List<Check> checks(double scale, long seed) {
        List<Check> all = new ArrayList<>();
        for (int cores : new int[] {1, 2, 8}) {
            for (double load : new double[] {0.5, 0.8}) {
                Outcome o = new Simulation(
                                Scenarios.queue(
                                        1,
                                        cores,
                                        load,
                                        Spread.EXPONENTIAL,
                                        "random",
                                        (load > 0.6 ? 40_000 : 8_000) * scale / cores),
                                seed)
                        .run();
                all.add(new Check(
                        "M/M/" + cores + " at " + load + ", mean time in the system (Erlang C)",
                        MEAN_S + erlangC(cores, load) * MEAN_S / (cores * (1 - load)),
                        o.meanUs() / 1e6));
            }
        }
        for (Spread spread : List.of(Spread.CONSTANT, Spread.BIMODAL)) {
            double load = 0.7;
            Outcome o = new Simulation(Scenarios.queue(1, 1, load, spread, "random", 30_000 * scale), seed).run();
            double second = spread == Spread.CONSTANT ? 1 : 0.1 * 5.5 * 5.5 + 0.9 * 0.25; // of work over its mean
            all.add(new Check(
                    "M/G/1 at " + load + " with " + spread + " work (Pollaczek and Khinchine)",
                    MEAN_S + load * MEAN_S * second / (2 * (1 - load)),
                    o.meanUs() / 1e6));
        }
        double load = 0.9;
        double[] tail = tails(load, scale, seed);
        for (int i = 1; i <= 3; i++) {
            all.add(new Check(
                    "two choices at " + load + ", servers with " + i + " or more (Mitzenmacher)",
                    Math.pow(load, Math.pow(2, i) - 1),
                    tail[i]));
        }
        return all;
    }

    /** The chance of having to wait in M/M/c. */
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

    /** Shares of 500 servers with so many or more requests, over time, under two choices. */
    private static double[] tails(double load, double scale, long seed) {
        int servers = 500;
        Simulation e = new Simulation(Scenarios.queue(servers, 1, load, Spread.EXPONENTIAL, "two-choices", 1e6), seed);
        e.begin();
        e.play(2_000_000);
        double[] sums = new double[4];
        int looks = (int) (600 * scale);
        for (int look = 0; look < looks; look++) {
            e.play(50_000);
            for (int i = 1; i <= 3; i++) {
                sums[i] += e.nodesWithAtLeast(i) / (double) servers / looks;
            }
        }
        return sums;
    }
}
