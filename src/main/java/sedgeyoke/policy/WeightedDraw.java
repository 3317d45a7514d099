package sedgeyoke.policy;

import java.util.SplittableRandom;

/** Draws a random index with a probability in proportion to its weight. */
final class WeightedDraw {
    private WeightedDraw() {}

    /**
     * Draws an index whose weight is above 0.
     *
     * @param weights the weights, none of them negative
     * @param sum the sum of all weights, above 0
     * @return the drawn index
     */
    static int draw(double[] weights, double sum, SplittableRandom random) {
        double left = random.nextDouble() * sum;
        int last = -1;
        for (int i = 0; i < weights.length; i++) {
            if (weights[i] > 0) {
                last = i;
                left -= weights[i];
                if (left < 0) {
                    break;
                }
            }
        }
        return last;
    }
}
