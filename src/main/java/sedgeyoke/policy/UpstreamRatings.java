package sedgeyoke.policy;

import java.util.List;
import sedgeyoke.policy.LoadBalancingPolicy.Ratings;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;

/** Estimates how fast an upstream is relative to others, before anything is learnt from its utilisation. */
final class UpstreamRatings {
    /** Bound on how much faster or slower a kind is taken to be than the mean, as reports may be wrong. */
    private static final double MAX_KIND_SPEED = 5;

    private final boolean usesListedRatings;
    private final LoadReports reports;
    private final TrafficRegimeSelector regimes;
    private double sum;

    UpstreamRatings(Settings settings, LoadReports reports, TrafficRegimeSelector regimes) {
        this.usesListedRatings = settings.ratings() != Ratings.NONE;
        this.reports = reports;
        this.regimes = regimes;
    }

    /** The rating in the endpoint list; without one, the speed of its zone and kind. */
    double rating(UpstreamState upstream) {
        double rating = upstream.endpoint().rating();
        return usesListedRatings && rating > 0 ? rating : kindSpeed(upstream);
    }

    /**
     * The speed of its zone and kind relative to the mean. Sparse traffic learns the speed of a single upstream too
     * slowly.
     */
    private double kindSpeed(UpstreamState upstream) {
        double ofKind = reports.kindServiceTimeMicros(upstream.endpoint());
        if (!regimes.current().ratesByKind() || !(ofKind > 0)) {
            return 1;
        }
        double speed = reports.meanServiceTimeMicros() / ofKind;
        return Math.max(1 / MAX_KIND_SPEED, Math.min(MAX_KIND_SPEED, speed));
    }

    /** Adds up the ratings of the ready upstreams; called once in each reweighting period. */
    void updateSum(List<UpstreamState> ready) {
        sum = 0;
        for (UpstreamState upstream : ready) {
            sum += rating(upstream);
        }
    }

    /** The ratings of all ready upstreams, as of the last period. */
    double sum() {
        return sum;
    }
}
