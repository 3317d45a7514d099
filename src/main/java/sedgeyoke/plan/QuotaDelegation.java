package sedgeyoke.plan;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import sedgeyoke.lease.LeaseClock;

/**
 * Tracks which of a forwarder's own slow-start quota is delegated, and until when. The forwarder uses no delegated
 * quota until the lease has expired on its clock, even if the planner stops responding: the planner may have granted
 * the quota to other forwarders.
 */
class QuotaDelegation {
    private final LeaseClock leaseClock;
    private final long leaseMicros;
    private final long ownQuotaBlockedUntilMicros;
    private final Map<String, Delegation> byUpstream = new HashMap<>();

    /**
     * The planner process to which the quota on one upstream is delegated, and until when on the forwarder's clock.
     */
    record Delegation(String planner, long incarnation, long expiresAtMicros) {}

    QuotaDelegation(LeaseClock leaseClock, long leaseMicros, long startedAtMicros) {
        this.leaseClock = leaseClock;
        this.leaseMicros = leaseMicros;
        this.ownQuotaBlockedUntilMicros = leaseClock.ownQuotaBlockedUntilMicros(startedAtMicros, leaseMicros);
    }

    /**
     * Returns until when the forwarder uses none of its own quota, because an earlier incarnation may have delegated
     * it.
     */
    long ownQuotaBlockedUntilMicros() {
        return ownQuotaBlockedUntilMicros;
    }

    /**
     * Delegates the quota on an upstream to the process that sent a plan, or renews the delegation. Returns false if
     * another process may still hold the quota.
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

    /**
     * Whether quota may be delegated. It may not right after the start, because it is unknown to which planner an
     * earlier incarnation has delegated it.
     */
    boolean mayDelegate(long nowMicros) {
        return nowMicros >= ownQuotaBlockedUntilMicros;
    }

    /** Whether a plan was sent by the process to which the quota is delegated. */
    boolean isHolder(Delegation delegation, PlanMessage plan) {
        return delegation.planner().equals(plan.planner()) && delegation.incarnation() == plan.incarnation();
    }

    void removeExpired(long nowMicros) {
        byUpstream.values().removeIf(delegation -> delegation.expiresAtMicros() <= nowMicros);
    }

    /** Returns the ids of the upstreams whose quota is delegated. */
    Set<String> upstreams() {
        return byUpstream.keySet();
    }

    /** Returns until when the quota on an upstream is delegated; {@code Long.MIN_VALUE} if it is not. */
    long delegatedUntilMicros(String upstream) {
        Delegation delegation = byUpstream.get(upstream);
        return delegation == null ? Long.MIN_VALUE : delegation.expiresAtMicros();
    }
}
