package sedgeyoke.policy;

import java.util.List;

/** Decides whether an upstream may take a request now: whether it is eligible for it, and has capacity. */
final class UpstreamEligibility {
    private final RetryPolicy retryPolicy;
    private final ConcurrencyLimits limits;
    private final SlowStart slowStart;

    UpstreamEligibility(RetryPolicy retryPolicy, ConcurrencyLimits limits, SlowStart slowStart) {
        this.retryPolicy = retryPolicy;
        this.limits = limits;
        this.slowStart = slowStart;
    }

    /**
     * Whether it is not ejected, a further attempt of the request is safe there, and its slow-start quota lets
     * the request pass.
     *
     * @param panic whether ejections do not count, as too many upstreams are ejected
     */
    boolean isEligible(UpstreamState upstream, RequestState request, boolean panic, long nowMicros) {
        boolean ejected = !panic && OutlierDetection.isEjected(upstream, nowMicros);
        return !ejected
                && retryPolicy.mayAttempt(request, upstream, nowMicros)
                && slowStart.allows(upstream, request, nowMicros);
    }

    /** Whether its in-flight limit allows another attempt. */
    boolean hasCapacity(UpstreamState upstream, long nowMicros) {
        return limits.hasCapacity(upstream, nowMicros);
    }

    boolean anyHasCapacity(List<UpstreamState> upstreams, long nowMicros) {
        for (UpstreamState upstream : upstreams) {
            if (limits.hasCapacity(upstream, nowMicros)) {
                return true;
            }
        }
        return false;
    }
}
