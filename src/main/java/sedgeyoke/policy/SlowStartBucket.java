package sedgeyoke.policy;

import sedgeyoke.policy.LoadBalancingPolicy.SlowStartGrant;
import sedgeyoke.policy.LoadBalancingPolicy.SlowStartQuota;

/**
 * The token bucket of a slow-starting upstream. It holds at most the tokens of one overload window, so that even a
 * window which begins with a full bucket lets at most twice as many requests pass as it refills.
 */
public final class SlowStartBucket {
    private static final double SECONDS_PER_MICRO = 1e-6;

    private double tokens;
    private long refilledAtMicros;

    /** Creates a bucket with these tokens; a negative number is a debt. */
    public SlowStartBucket(double tokens, long nowMicros) {
        this.tokens = tokens;
        this.refilledAtMicros = nowMicros;
    }

    /**
     * Refills the bucket up to now. It must be called right before quotas change, and again right after.
     *
     * @param ownPerMicro our own quota, in mean requests per microsecond
     * @param quota what was agreed with planners, or null
     * @param blockedUntilMicros until then a previous process of this balancer may have delegated our own quota
     * @param windowMicros the length of the overload window
     * @param minSize least size of the bucket without planners, in mean requests
     */
    public void refill(
            long nowMicros,
            double ownPerMicro,
            SlowStartQuota quota,
            long blockedUntilMicros,
            long windowMicros,
            double minSize) {
        if (quota == null && refilledAtMicros >= blockedUntilMicros) {
            tokens = Math.min(
                    Math.max(ownPerMicro * windowMicros, minSize),
                    tokens + ownPerMicro * (nowMicros - refilledAtMicros));
            refilledAtMicros = nowMicros;
            return;
        }
        long ownFromMicros =
                Math.max(blockedUntilMicros, quota == null ? blockedUntilMicros : quota.delegatedUntilMicros());
        double rate = nowMicros >= ownFromMicros ? ownPerMicro : 0;
        double gained = ownPerMicro * Math.max(0, nowMicros - Math.max(refilledAtMicros, ownFromMicros));
        if (quota != null) {
            for (SlowStartGrant grant : quota.grants()) {
                double granted = grant.rate() * SECONDS_PER_MICRO;
                rate += nowMicros < grant.expiresAtMicros() ? granted : 0;
                gained += granted * Math.max(0, Math.min(nowMicros, grant.expiresAtMicros()) - refilledAtMicros);
            }
        }
        tokens = Math.min(rate * windowMicros, tokens + gained);
        refilledAtMicros = nowMicros;
    }

    /** Mean requests that may be sent now. */
    public double tokens() {
        return tokens;
    }

    /** Takes tokens for this many mean requests; the bucket may go into debt. */
    public void spend(double meanRequests) {
        tokens -= meanRequests;
    }
}
