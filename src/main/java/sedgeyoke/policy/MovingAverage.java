package sedgeyoke.policy;

/** An exponentially weighted moving average whose value 0 stands for no sample yet. */
final class MovingAverage {
    /** Weight of one sample in averages over all upstreams. */
    static final double FLEET_SMOOTHING = 0.02;

    private MovingAverage() {}

    /** Returns the average after one more sample, which has this weight; the first sample is the average. */
    static double next(double average, double sample, double weight) {
        return average == 0 ? sample : average + weight * (sample - average);
    }
}
