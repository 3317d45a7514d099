package sedgeyoke.policy;

import java.util.List;

/**
 * Adjusts the weight of each upstream by how far its reported utilisation is from the mean: upstreams above the mean
 * get less, those below it more, as in "Optimizing Tail Latency in a Heterogeneous Environment with Istio, Envoy, and a
 * Custom Kubernetes Operator".
 */
final class UtilizationReweighting {
    /** Mean length of a period; jitter keeps balancers out of step. */
    private static final long PERIOD_MICROS = 250_000;
    /** Change of the log weight in one period per 1.0 of difference between utilisation and mean. */
    private static final double GAIN = 0.25;
    /** Share of the learnt log weight that is forgotten in one period. */
    private static final double LEAK = 0.02;
    /** Bound on the log weight: a factor of about 4.5 either way. */
    private static final double MAX_LOG_WEIGHT = 1.5;

    private final LoadReports reports;
    private final UpstreamRatings ratings;
    private final Jitter jitter;
    private long nextAtMicros;

    UtilizationReweighting(LoadReports reports, UpstreamRatings ratings, Jitter jitter) {
        this.reports = reports;
        this.ratings = ratings;
        this.jitter = jitter;
    }

    /** The weight of one upstream. */
    static final class State {
        private double logWeight;
        private double weight = 1;
        /** Utilisation in this period; NaN without a recent report. */
        private double utilisation = Double.NaN;
    }

    /** Schedules the first period. */
    void start(long nowMicros) {
        nextAtMicros = nowMicros + jitter.around(PERIOD_MICROS);
    }

    boolean isDue(long nowMicros) {
        return nowMicros >= nextAtMicros;
    }

    /** Schedules the next period and returns its length. */
    long beginPeriod(long nowMicros) {
        long periodMicros = jitter.around(PERIOD_MICROS);
        nextAtMicros = nowMicros + periodMicros;
        return periodMicros;
    }

    /** The weight of an upstream, relative to those of others. */
    double weight(UpstreamState upstream) {
        return upstream.weighting.weight;
    }

    /** Sets the weights; upstreams without a recent report get the mean of the others' log weights. */
    void reweight(List<UpstreamState> ready, long nowMicros) {
        double meanUtilisation = readUtilisations(ready, nowMicros);
        double meanLogWeight = moveReported(ready, meanUtilisation);
        for (UpstreamState upstream : ready) {
            State state = upstream.weighting;
            if (Double.isNaN(state.utilisation)) {
                boolean noneReported = Double.isNaN(meanLogWeight);
                state.logWeight = noneReported ? state.logWeight * (1 - LEAK) : meanLogWeight;
            }
            state.weight = ratings.rating(upstream) * StrictMath.exp(state.logWeight);
        }
    }

    private double readUtilisations(List<UpstreamState> ready, long nowMicros) {
        double sum = 0;
        int reported = 0;
        for (UpstreamState upstream : ready) {
            double utilisation = reports.utilisation(upstream, nowMicros);
            upstream.weighting.utilisation = utilisation;
            if (!Double.isNaN(utilisation)) {
                sum += utilisation;
                reported++;
            }
        }
        return reported == 0 ? 0 : sum / reported;
    }

    /** Adjusts the log weights of upstreams with a recent report; returns their mean, NaN if there are none. */
    private static double moveReported(List<UpstreamState> ready, double meanUtilisation) {
        double sum = 0;
        int reported = 0;
        for (UpstreamState upstream : ready) {
            State state = upstream.weighting;
            if (!Double.isNaN(state.utilisation)) {
                double moved = state.logWeight * (1 - LEAK) + GAIN * (meanUtilisation - state.utilisation);
                state.logWeight = Math.max(-MAX_LOG_WEIGHT, Math.min(MAX_LOG_WEIGHT, moved));
                sum += state.logWeight;
                reported++;
            }
        }
        return reported == 0 ? Double.NaN : sum / reported;
    }
}
