package sedgeyoke.policy;

import java.util.List;
import sedgeyoke.policy.LoadBalancingPolicy.Ratings;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;

/** Says how fast an upstream is compared with others, before anything is learnt from its utilisation. */
final class UpstreamRatings {
    /** Bound on the factor either way, as reports may be wrong. */
    private static final double MAX_KIND_SPEED = 5;

    private final boolean listed;
    private final LoadReports reports;
    private final TrafficRegimeSelector regimes;
    private double sum;

    UpstreamRatings(Settings settings, LoadReports reports, TrafficRegimeSelector regimes) {
        this.listed = settings.ratings() != Ratings.NONE;
        this.reports = reports;
        this.regimes = regimes;
    }

    /** Its rating in the endpoint list; without one, the speed of its zone and kind. */
    double rating(UpstreamState upstream) {
        double rating = upstream.endpoint().rating();
        return listed && rating > 0 ? rating : kindSpeed(upstream);
    }

    /** Speed of its zone and kind against the mean: sparse traffic learns that of one upstream too slowly. */
    private double kindSpeed(UpstreamState upstream) {
        double ofKind = reports.kindServiceTimeMicros(upstream.endpoint());
        if (!regimes.current().ratesByKind() || !(ofKind > 0)) {
            return 1;
        }
        double speed = reports.meanServiceTimeMicros() / ofKind;
        return Math.max(1 / MAX_KIND_SPEED, Math.min(MAX_KIND_SPEED, speed));
    }

    /** Adds up the ratings of the ready upstreams once in each reweighting period. */
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
