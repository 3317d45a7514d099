package sedgeyoke.policy;

import java.util.List;
import sedgeyoke.policy.LoadBalancingPolicy.Plan;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;
import sedgeyoke.policy.LoadBalancingPolicy.SlowStartQuota;
import sedgeyoke.policy.LoadBalancingPolicy.UpstreamView;

/**
 * Turns the latest plan into factors on our own decisions. The strength of a plan rises and falls gradually, so that
 * the load does not jump when planners return or fail; at strength 0 all factors are neutral.
 */
final class PlanBlend {
    /** A plan gains strength if the last contact with a planner was at most this long ago. */
    private static final long FRESH_TIME_MICROS = 1_000_000;
    /** Time in which a plan gets from no strength to full strength. */
    private static final long RISE_TIME_MICROS = 2_000_000;
    /** Exponent on the ratio of the planned in-flight limit to our own: half way between them on a log scale. */
    private static final double PLANNED_LIMIT_EXPONENT = 0.5;

    private final int ownZone;
    private final ZonePreference zones;
    private Plan plan;
    private double strength;
    private long strengthAtMicros;
    private boolean inForce;

    PlanBlend(Settings settings, ZonePreference zones) {
        this.ownZone = settings.zone();
        this.zones = zones;
    }

    /** What the plan says of one upstream. */
    static final class State {
        private double limitFactor = 1;
        private double plannedLimit = Double.NaN;
        private double spilloverWeight;
        private boolean draining;

        /** Factor on the in-flight limit of the upstream. */
        double limitFactor() {
            return limitFactor;
        }

        /** Added to the weight of the upstream's zone. */
        double spilloverWeight() {
            return spilloverWeight;
        }

        /** Whether another balancer knows that the upstream drains. */
        boolean draining() {
            return draining;
        }
    }

    /** Replaces the plan. */
    void update(long nowMicros, Plan latest) {
        updateStrength(nowMicros);
        plan = latest;
    }

    /** Records the plan's view of an upstream; {@link #apply} makes it effective. */
    void record(UpstreamState upstream, UpstreamView view) {
        upstream.plan.draining = view.draining();
        upstream.plan.plannedLimit = view.limit();
    }

    /** Brings the strength up to date and returns it: from 0, where planners have no influence, to 1. */
    double updateStrength(long nowMicros) {
        if (plan == null) {
            return 0;
        }
        long contact = plan.lastPlannerContactMicros();
        boolean fresh = contact > 0 && nowMicros - contact <= FRESH_TIME_MICROS;
        double fullStepMicros = (double) (fresh ? RISE_TIME_MICROS : -plan.fadeOutTimeMicros());
        double step = (nowMicros - strengthAtMicros) / fullStepMicros;
        strength = strengthAtMicros == 0 ? 0 : Math.max(0, Math.min(1, strength + step));
        strengthAtMicros = nowMicros;
        return strength;
    }

    /** Applies the plan again while its strength changes; at full strength, the factors hold until the next plan. */
    void fade(List<UpstreamState> ready, long nowMicros) {
        double current = updateStrength(nowMicros);
        if (current < 1 && (current > 0 || inForce)) {
            apply(ready, nowMicros);
        }
        inForce = current > 0;
    }

    /** Sets the factors of all ready upstreams. */
    void apply(List<UpstreamState> ready, long nowMicros) {
        double current = updateStrength(nowMicros);
        int draining = 0;
        for (UpstreamState upstream : ready) {
            State state = upstream.plan;
            state.limitFactor = limitFactor(upstream, current);
            double nearness = current > 0 ? nearness(upstream.endpoint().zone(), nowMicros) : 0;
            state.spilloverWeight = zones.spilloverWeight(nearness);
            state.draining &= current > 0;
            draining += state.draining ? 1 : 0;
        }
        if (OutlierDetection.leavesTooFew(ready.size() - draining, ready.size())) {
            ready.forEach(each -> each.plan.draining = false); // implausible, so only the endpoint list counts
        }
    }

    private static double limitFactor(UpstreamState upstream, double strength) {
        double planned = upstream.plan.plannedLimit;
        double own = upstream.concurrency.limit();
        if (strength > 0 && planned > 0 && own > 0) {
            return StrictMath.pow(planned / own, PLANNED_LIMIT_EXPONENT * strength);
        }
        return 1;
    }

    /** The agreed quota of a slow-starting upstream; null if there is none. */
    SlowStartQuota slowStartQuota(String upstream, long launchedAtMicros) {
        return plan == null ? null : plan.slowStartQuota(upstream, launchedAtMicros);
    }

    /** The time until which a previous process of this balancer may have delegated our own slow-start quota. */
    long ownQuotaBlockedUntilMicros() {
        return plan == null ? Long.MIN_VALUE : plan.ownQuotaBlockedUntilMicros();
    }

    /** To what degree a zone is treated like our own: from 0, like any other zone, to 1, like our own. */
    double nearness(int zone, long nowMicros) {
        List<Double> shares = plan == null ? List.of() : plan.zoneSpillover();
        if (zone == ownZone || zone < 0 || zone >= shares.size() || ownZone >= shares.size()) {
            return 0;
        }
        double own = shares.get(ownZone);
        double there = shares.get(zone);
        return there <= 0 ? 0 : updateStrength(nowMicros) * (own <= there ? 1 : there / own);
    }
}
