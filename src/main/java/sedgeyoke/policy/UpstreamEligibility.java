package sedgeyoke.policy;

import java.util.List;

/** Decides whether an upstream may take a request now: whether it is eligible for the request and has capacity. */
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
     * Whether the upstream is not ejected, may be sent another attempt of the request, and has enough slow-start quota
     * for it.
     *
     * @param panic whether ejections are ignored, as too many upstreams are ejected
     */
    boolean isEligible(UpstreamState upstream, RequestState request, boolean panic, long nowMicros) {
        boolean ejected = !panic && OutlierDetection.isEjected(upstream, nowMicros);
        return !ejected
                && retryPolicy.mayAttempt(request, upstream, nowMicros)
                && slowStart.allows(upstream, request, nowMicros);
    }

    /** Whether the in-flight limit of the upstream allows another attempt. */
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
