package sedgeyoke.plan;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import sedgeyoke.lease.LeaseClock;

/**
 * Which of a forwarder's own slow-start quota is delegated, and until when. Quota that was delegated stays unused until
 * the lease has expired on the forwarder's clock, even if the planner falls silent: it may have granted it to others.
 */
class QuotaDelegation {
    private final LeaseClock leaseClock;
    private final long leaseMicros;
    private final long ownQuotaBlockedUntilMicros;
    private final Map<String, Delegation> byUpstream = new HashMap<>();

    /** The planner's process that holds the quota on one upstream, and until when on the forwarder's clock. */
    record Delegation(String planner, long incarnation, long expiresAtMicros) {}

    QuotaDelegation(LeaseClock leaseClock, long leaseMicros, long startedAtMicros) {
        this.leaseClock = leaseClock;
        this.leaseMicros = leaseMicros;
        this.ownQuotaBlockedUntilMicros = leaseClock.ownQuotaBlockedUntilMicros(startedAtMicros, leaseMicros);
    }

    /** Until when no own quota is used, as an earlier incarnation may have delegated it. */
    long ownQuotaBlockedUntilMicros() {
        return ownQuotaBlockedUntilMicros;
    }

    /**
     * Delegates the quota on an upstream to the process that sent a plan, or renews that; returns false where another
     * process may hold it.
     */
    boolean delegate(long nowMicros, String upstream, PlanMessage to) {
        Delegation current = byUpstream.get(upstream);
        boolean available = current == null || current.expiresAtMicros() <= nowMicros || isHolder(current, to);
        if (!mayDelegate(nowMicros) || !available) {
            return false;
        }
        long expiresAtMicros = leaseClock.reservedUntilMicros(nowMicros, leaseMicros);
        byUpstream.put(upstream, new Delegation(to.planner(), to.incarnation(), expiresAtMicros));
        return true;
    }

    /** A process that has just started does not know to whom an earlier incarnation has delegated the same quota. */
    boolean mayDelegate(long nowMicros) {
        return nowMicros >= ownQuotaBlockedUntilMicros;
    }

    /** Whether a plan is of the process that the quota is delegated to. */
    boolean isHolder(Delegation delegation, PlanMessage plan) {
        return delegation.planner().equals(plan.planner()) && delegation.incarnation() == plan.incarnation();
    }

    void removeExpired(long nowMicros) {
        byUpstream.values().removeIf(delegation -> delegation.expiresAtMicros() <= nowMicros);
    }

    /** Ids of the upstreams whose quota is delegated. */
    Set<String> upstreams() {
        return byUpstream.keySet();
    }

    /** Until when the quota on an upstream is delegated; {@code Long.MIN_VALUE} if it is not. */
    long delegatedUntilMicros(String upstream) {
        Delegation delegation = byUpstream.get(upstream);
        return delegation == null ? Long.MIN_VALUE : delegation.expiresAtMicros();
    }
}
