package sedgeyoke.policy;

/** A smoothed rate of events, measured in periods. The first periods have more weight, so that it settles quickly. */
final class RateEstimator {
    /** Least weight of one period in the average. */
    private static final double LEAST_WEIGHT = 0.1;

    private static final double MICROS_PER_SECOND = 1e6;

    private long periods;
    private long eventsInPeriod;
    private double perSecond;

    /** Counts one event in the current period. */
    void count() {
        eventsInPeriod++;
    }

    /** Ends a period that lasted this many microseconds. */
    void endPeriod(long periodMicros) {
        periods++;
        double weight = Math.max(LEAST_WEIGHT, 1.0 / periods);
        perSecond += weight * (eventsInPeriod * MICROS_PER_SECOND / periodMicros - perSecond);
        eventsInPeriod = 0;
    }

    /** Events a second. */
    double perSecond() {
        return perSecond;
    }

    /** Periods that have ended. */
    long periods() {
        return periods;
    }
}
