package sedgeyoke.experiment;

import java.util.Arrays;
import org.apache.commons.math3.random.Well19937c;
import org.apache.commons.math3.stat.StatUtils;
import org.apache.commons.math3.stat.descriptive.rank.Percentile;

/**
 * The difference between two variants, paired by seed, with a 95% percentile bootstrap interval of its mean (B. Efron
 * and R. Tibshirani, "An Introduction to the Bootstrap", 1993, chapter 13). As both variants get the same operations
 * and faults for a seed, the variation between seeds cancels out.
 *
 * @param mean mean of the differences
 * @param low lower end of the interval
 * @param high upper end of the interval
 * @param wins number of seeds with a positive difference
 * @param losses number of seeds with a negative difference
 */
public record PairedBootstrap(double mean, double low, double high, int wins, int losses) {
    private static final int RESAMPLES = 10_000;
    private static final double LOW_PERCENTILE = 2.5;
    private static final double HIGH_PERCENTILE = 97.5;
    /** Fixed, so that the same values give the same interval. */
    private static final long RANDOM_SEED = 20_261_201;

    /** Compares two variants; the arrays have one value per seed, in the same order. */
    public static PairedBootstrap of(double[] values, double[] baseline) {
        double[] differences = new double[values.length];
        Arrays.setAll(differences, i -> values[i] - baseline[i]);
        double[] means = resampledMeans(differences);
        return new PairedBootstrap(
                StatUtils.mean(differences),
                new Percentile(LOW_PERCENTILE).evaluate(means),
                new Percentile(HIGH_PERCENTILE).evaluate(means),
                (int) Arrays.stream(differences).filter(d -> d > 0).count(),
                (int) Arrays.stream(differences).filter(d -> d < 0).count());
    }

    private static double[] resampledMeans(double[] differences) {
        Well19937c random = new Well19937c(RANDOM_SEED);
        double[] means = new double[RESAMPLES];
        for (int resample = 0; resample < RESAMPLES; resample++) {
            double sum = 0;
            for (int i = 0; i < differences.length; i++) {
                sum += differences[random.nextInt(differences.length)];
            }
            means[resample] = sum / differences.length;
        }
        return means;
    }
}
