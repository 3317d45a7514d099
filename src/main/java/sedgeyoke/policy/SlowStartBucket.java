package sedgeyoke.policy;

import sedgeyoke.policy.LoadBalancingPolicy.SlowStartGrant;
import sedgeyoke.policy.LoadBalancingPolicy.SlowStartQuota;

/**
 * The tokens of a slow-starting upstream, at most those of one overload window. With a full bucket at its
 * begin, a window lets at most twice as many requests pass as it refills.
 */
public final class SlowStartBucket {
    private static final double SECONDS_PER_MICRO = 1e-6;

    private double tokens;
    private long refilledAtMicros;

    /** A bucket that has these tokens now; a negative number is a debt. */
    public SlowStartBucket(double tokens, long nowMicros) {
        this.tokens = tokens;
        this.refilledAtMicros = nowMicros;
    }

    /**
     * Refills the bucket up to now. It must be called before quotas change, and once more right after.
     *
     * @param ownPerMicro our own quota, in mean requests per microsecond
     * @param quota what was agreed with planners, or null
     * @param blockedUntilMicros until then a former process of ours may still have our own quota delegated
     * @param windowMicros the time in which an upstream becomes overloaded
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

    /** Takes the tokens of so many mean requests. */
    public void spend(double meanRequests) {
        tokens -= meanRequests;
    }
}
