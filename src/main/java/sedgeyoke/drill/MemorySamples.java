package sedgeyoke.drill;

import java.util.ArrayList;
import java.util.List;

/** Samples of the resident memory of a process during a drill. */
final class MemorySamples {
    static final int QUARTERS = 4;
    private static final double FLAT_TOLERANCE = 0.05;

    private final List<Sample> samples = new ArrayList<>();

    /** Resident memory at the time at which a share of the drill had elapsed. */
    private record Sample(double elapsedShare, double residentMb) {}

    void add(double elapsedShare, double residentMb) {
        samples.add(new Sample(elapsedShare, residentMb));
    }

    int count() {
        return samples.size();
    }

    /** The latest sample; there must be one. */
    double latestMb() {
        return samples.get(samples.size() - 1).residentMb();
    }

    double peakMb() {
        return samples.stream().mapToDouble(Sample::residentMb).max().orElse(0);
    }

    /** The mean of each quarter of the drill; 0 for a quarter without samples. */
    double[] meansByQuarter() {
        double[] means = new double[QUARTERS];
        for (int i = 0; i < QUARTERS; i++) {
            int quarter = i;
            means[i] = samples.stream()
                    .filter(sample -> (int) (sample.elapsedShare() * QUARTERS) == quarter)
                    .mapToDouble(Sample::residentMb)
                    .average()
                    .orElse(0);
        }
        return means;
    }

    /** Whether the mean of the last quarter is close enough to the mean of the second quarter. */
    boolean flat() {
        double[] means = meansByQuarter();
        return Math.abs(means[QUARTERS - 1] - means[1]) <= FLAT_TOLERANCE * means[1];
    }
}
