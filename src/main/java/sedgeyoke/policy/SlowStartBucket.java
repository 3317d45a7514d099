package sedgeyoke.policy;

import sedgeyoke.policy.LoadBalancingPolicy.SlowStartGrant;
import sedgeyoke.policy.LoadBalancingPolicy.SlowStartQuota;

/** The tokens of a slow-starting upstream for one overload window: all balancers send at most twice that. */
public final class SlowStartBucket {
    private static final double SECONDS_PER_MICRO = 1e-6;

    private double tokens;
    private long refilledAt;

    /** A bucket that has these tokens now; a negative number is a debt. */
    public SlowStartBucket(double tokens, long now) {
        this.tokens = tokens;
        this.refilledAt = now;
    }

    /**
     * Refills the bucket up to now. It must be called before quotas change, and once more right after.
     *
     * @param own the rate of our own quota, in mean requests per microsecond
     * @param quota what was agreed with planners, or null
     * @param blockedTo until then a former process of ours may still have our own quota delegated
     * @param window the time in which an upstream becomes overloaded
     * @param min least size of the bucket without planners
     */
    public void refill(long now, double own, SlowStartQuota quota, long blockedTo, long window, double min) {
        if (quota == null && refilledAt >= blockedTo) {
            tokens = Math.min(Math.max(own * window, min), tokens + own * (now - refilledAt));
            refilledAt = now;
            return;
        }
        long ownFrom = Math.max(blockedTo, quota == null ? blockedTo : quota.delegatedUntilMicros());
        double rate = now >= ownFrom ? own : 0;
        double gained = own * Math.max(0, now - Math.max(refilledAt, ownFrom));
        if (quota != null) {
            for (SlowStartGrant grant : quota.grants()) {
                double granted = grant.rate() * SECONDS_PER_MICRO;
                rate += now < grant.expiresAtMicros() ? granted : 0;
                gained += granted * Math.max(0, Math.min(now, grant.expiresAtMicros()) - refilledAt);
            }
        }
        tokens = Math.min(rate * window, tokens + gained);
        refilledAt = now;
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
