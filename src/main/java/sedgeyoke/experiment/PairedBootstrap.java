package sedgeyoke.experiment;

import java.util.Arrays;
import org.apache.commons.math3.random.Well19937c;
import org.apache.commons.math3.stat.StatUtils;
import org.apache.commons.math3.stat.descriptive.rank.Percentile;

/**
 * What one variant has over another, seed by seed, with a 95% interval of the mean by bootstrap: both met the same
 * wants
 * and faults, so what is common to a seed falls out.
 *
 * @param mean of the differences
 * @param low of the interval
 * @param high of the interval
 * @param wins seeds in which it was better
 * @param losses seeds in which it was worse
 */
public record PairedBootstrap(double mean, double low, double high, int wins, int losses) {
    private static final int DRAWS = 10_000;
    private static final double LOW = 2.5;
    private static final double HIGH = 97.5;
    private static final long SEED = 20_261_201;

    /** Compares figures of the same seeds; the interval is a point where there is one seed alone. */
    public static PairedBootstrap of(double[] figures, double[] base) {
        double[] differences = new double[figures.length];
        Arrays.setAll(differences, i -> figures[i] - base[i]);
        Well19937c random = new Well19937c(SEED);
        double[] means = new double[DRAWS];
        for (int d = 0; d < DRAWS; d++) {
            double sum = 0;
            for (int i = 0; i < differences.length; i++) {
                sum += differences[random.nextInt(differences.length)];
            }
            means[d] = sum / differences.length;
        }
        return new PairedBootstrap(
                StatUtils.mean(differences),
                new Percentile(LOW).evaluate(means),
                new Percentile(HIGH).evaluate(means),
                (int) Arrays.stream(differences).filter(d -> d > 0).count(),
                (int) Arrays.stream(differences).filter(d -> d < 0).count());
    }
}
