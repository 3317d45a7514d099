package sedgeyoke.policy;

import java.util.List;
import sedgeyoke.policy.LoadBalancingPolicy.Plan;
import sedgeyoke.policy.LoadBalancingPolicy.SlowStartQuota;

/** The latest plan and its strength, which fades in and out so that no planner's return or end is a step. */
final class PlanBlend {
    private static final long FRESH_TIME_MICROS = 1_000_000; // since the last contact, at full strength
    private static final long RISE_TIME_MICROS = 2_000_000; // from no strength to full strength

    private Plan plan;
    private double strength;
    private long strengthAt;

    void update(long now, Plan latest) {
        strength(now);
        plan = latest;
    }

    /** From 0, where planners have no influence, to 1. Each call moves it on to now. */
    double strength(long now) {
        if (plan == null) {
            return 0;
        }
        long contact = plan.lastPlannerContactMicros();
        boolean fresh = contact > 0 && now - contact <= FRESH_TIME_MICROS;
        double step = (now - strengthAt) / (double) (fresh ? RISE_TIME_MICROS : -plan.fadeOutTimeMicros());
        strength = strengthAt == 0 ? 0 : Math.max(0, Math.min(1, strength + step));
        strengthAt = now;
        return strength;
    }

    /** The agreed quota of a slow-starting upstream; null if there is none. */
    SlowStartQuota slowStartQuota(String upstream, long launchedAtMicros) {
        return plan == null ? null : plan.slowStartQuota(upstream, launchedAtMicros);
    }

    long ownQuotaBlockedUntilMicros() {
        return plan == null ? Long.MIN_VALUE : plan.ownQuotaBlockedUntilMicros();
    }

    /** How near a zone is to be treated: 0 like any other zone, 1 like our own. */
    double zoneSpillover(int zone, int ownZone, long now) {
        List<Double> shares = plan == null ? List.of() : plan.zoneSpillover();
        if (zone == ownZone || zone < 0 || zone >= shares.size() || ownZone >= shares.size()) {
            return 0;
        }
        double own = shares.get(ownZone);
        double there = shares.get(zone);
        return there <= 0 ? 0 : strength(now) * (own <= there ? 1 : there / own);
    }
}
