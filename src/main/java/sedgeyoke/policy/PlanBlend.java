package sedgeyoke.policy; // of the module: how much a plan counts

import java.util.List;
import sedgeyoke.policy.LoadBalancingPolicy.Plan;
import sedgeyoke.policy.LoadBalancingPolicy.SlowStartQuota;

/**
 * The plan heard last and how much it counts. It counts in full while plans keep coming, fades out over
 * the time that it states once they don't, and comes back as gently: neither the end of the planners nor
 * their return is a step in traffic.
 */
final class PlanBlend {
    /** A plan heard so long ago is still as good as new. */
    private static final long FULL_FOR = 1_000_000;
    /** Time from nothing to full strength. */
    private static final long RISE = 2_000_000;

    private Plan plan;
    private double strength;
    private long strengthAt;

    void hear(long now, Plan heard) {
        strength(now);
        plan = heard;
    }

    /** From 0, where all is decided as without planners, to 1. Asked in each sweep, as it moves with time. */
    double strength(long now) {
        if (plan == null) {
            return 0;
        }
        boolean fresh = plan.lastPlannerContact() > 0 && now - plan.lastPlannerContact() <= FULL_FOR;
        double step = (now - strengthAt) / (double) (fresh ? RISE : -plan.fadeOutTime());
        strength = strengthAt == 0 ? 0 : Math.max(0, Math.min(1, strength + step));
        strengthAt = now;
        return strength;
    }

    /** What planners and we agreed on for a cold upstream; null if nothing. */
    SlowStartQuota right(String upstream, long launchedAt) {
        return plan == null ? null : plan.slowStartQuota(upstream, launchedAt);
    }

    long quietUntil() {
        return plan == null ? Long.MIN_VALUE : plan.ownQuotaBlockedUntil();
    }

    /** How near a zone is brought to our own: 0 not at all, 1 as if it were our own. */
    double spill(int zone, int ownZone, long now) {
        List<Double> shares = plan == null ? List.of() : plan.zoneSpillover();
        if (zone == ownZone || zone < 0 || zone >= shares.size() || ownZone >= shares.size()) {
            return 0;
        }
        double own = shares.get(ownZone);
        double there = shares.get(zone);
        return there <= 0 ? 0 : strength(now) * (own <= there ? 1 : there / own);
    }
}
