package sedgeyoke.drill;

import java.util.ArrayList;
import java.util.List;

/** Resident memory of a process over the time of a drill. */
final class MemorySamples {
    static final int QUARTERS = 4;
    private static final double FLAT_TOLERANCE = 0.05;

    private final List<Sample> samples = new ArrayList<>();

    /** Resident memory when a share of the time was over. */
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

    /** The mean of each quarter of the time; 0 for one without samples. */
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

    /** Whether the last quarter is as large as the second one, up to a tolerance. */
    boolean flat() {
        double[] means = meansByQuarter();
        return Math.abs(means[QUARTERS - 1] - means[1]) <= FLAT_TOLERANCE * means[1];
    }
}
