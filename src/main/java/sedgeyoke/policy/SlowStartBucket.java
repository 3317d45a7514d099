package sedgeyoke.policy; // of the module: what a cold upstream may be sent

import sedgeyoke.policy.LoadBalancingPolicy.SlowStartGrant;
import sedgeyoke.policy.LoadBalancingPolicy.SlowStartQuota;

/**
 * The token bucket of one cold upstream. Tokens are mean requests. They accrue at the rate of the rights
 * that we hold, and what may be saved up is what those rights give in the time in which an upstream falls
 * over. So all balancers together never send more in any such time than twice what their rights give,
 * whoever holds the rights when: a right that is lent accrues nothing here, and what had been saved up
 * under it is forfeited.
 */
public final class SlowStartBucket {
    private static final double SECONDS_PER_MICRO = 1e-6;

    private double tokens;
    private long at;

    /** A bucket that holds so much now; less than nothing is a debt. */
    public SlowStartBucket(double tokens, long now) {
        this.tokens = tokens;
        this.at = now;
    }

    /**
     * Brings the bucket up to now. It must be called before quotas change, and once more right after.
     *
     * @param own what our own quota gives, in mean requests per microsecond
     * @param quota what planners and we have agreed on, or null
     * @param blockedTo until then our own quota may still be lent by a process that we were before
     * @param min what may be saved up at least where no planner has a say
     */
    public void refill(long now, double own, SlowStartQuota quota, long blockedTo, long window, double min) {
        if (quota == null && at >= blockedTo) {
            tokens = Math.min(Math.max(own * window, min), tokens + own * (now - at));
            at = now;
            return;
        }
        long ownFrom = Math.max(blockedTo, quota == null ? blockedTo : quota.delegatedUntil());
        double rate = now >= ownFrom ? own : 0;
        double gained = own * Math.max(0, now - Math.max(at, ownFrom));
        if (quota != null) {
            for (SlowStartGrant g : quota.grants()) {
                rate += now < g.expiresAt() ? g.rate() * SECONDS_PER_MICRO : 0;
                gained += g.rate() * SECONDS_PER_MICRO * Math.max(0, Math.min(now, g.expiresAt()) - at);
            }
        }
        tokens = Math.min(rate * window, tokens + gained);
        at = now;
    }

    /** Mean requests that may be sent now. */
    public double tokens() {
        return tokens;
    }

    /** Notes that so many mean requests were sent. */
    public void spend(double work) {
        tokens -= work;
    }
}
