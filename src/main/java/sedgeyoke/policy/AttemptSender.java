package sedgeyoke.policy;

import sedgeyoke.policy.LoadBalancingPolicy.Actions;

/** Sends an attempt to the upstream that was selected for it, and records it in all modules. */
final class AttemptSender {
    private static final long NO_TIMEOUT = 0;

    private final Actions actions;
    private final RequestQueue queue;
    private final OutlierDetection outliers;
    private final ConcurrencyLimits limits;
    private final SlowStart slowStart;

    AttemptSender(
            Actions actions,
            RequestQueue queue,
            OutlierDetection outliers,
            ConcurrencyLimits limits,
            SlowStart slowStart) {
        this.actions = actions;
        this.queue = queue;
        this.outliers = outliers;
        this.limits = limits;
        this.slowStart = slowStart;
    }

    void send(RequestState request, UpstreamState upstream, long nowMicros) {
        queue.remove(request);
        outliers.attemptStarting(upstream, nowMicros);
        AttemptState attempt = new AttemptState(upstream, nowMicros);
        request.begin(attempt);
        upstream.inFlight.begin(attempt, request.cost);
        attempt.sentAtLimit = limits.isAtLimit(upstream, nowMicros);
        slowStart.spend(upstream, request);
        actions.send(request.request.id(), upstream.id, NO_TIMEOUT);
    }
}
