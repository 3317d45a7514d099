package sedgeyoke.policy;

import sedgeyoke.policy.LoadBalancingPolicy.Actions;
import sedgeyoke.policy.LoadBalancingPolicy.Effect;
import sedgeyoke.policy.LoadBalancingPolicy.Limits;
import sedgeyoke.policy.LoadBalancingPolicy.RequestClass;
import sedgeyoke.policy.LoadBalancingPolicy.Scope;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;
import sedgeyoke.policy.LoadBalancingPolicy.State;

/**
 * Allows or forbids each attempt of a request: the first one, retries and hedged requests. {@link Dispatcher} and
 * {@link UpstreamSelector} choose among what is allowed. A request whose class is not idempotent is never sent again
 * once an upstream may have run it.
 *
 * <p>A hedged request is an attempt sent while an earlier one is outstanding. {@link #mayAttempt} allows it if
 * {@code Limits.hedging} is set, but nothing in this package sends one: a request is queued or retried only when none
 * of its attempts is outstanding. {@link RequestCompletion#conclude} cancels the attempts that are outstanding when a
 * request ends.
 */
final class RetryPolicy {
    /** Retries that each request adds to the budget. */
    private static final double BUDGET_PER_REQUEST = 0.2;
    /** Largest retry budget. */
    private static final double MAX_BUDGET = 3;

    private final Limits limits;
    private final Deadlines deadlines;
    private final TrafficRegimeSelector regimes;
    private final Actions actions;
    private double budget = MAX_BUDGET;

    RetryPolicy(Settings settings, Deadlines deadlines, TrafficRegimeSelector regimes, Actions actions) {
        this.limits = settings.limits();
        this.deadlines = deadlines;
        this.regimes = regimes;
        this.actions = actions;
    }

    /** What follows when the last outstanding attempt of a request has failed. */
    enum NextStep {
        /** It may have run, so it cannot be queued: it is retried at once or not at all. */
        RETRY_AT_ONCE,
        /** No upstream has run it: it is queued like a new request. */
        QUEUE_AGAIN,
        /** No further attempt is allowed. */
        GIVE_UP
    }

    /** Credits the retry budget for a request that was admitted. */
    void creditRequest() {
        budget = Math.max(0, Math.min(MAX_BUDGET, budget + BUDGET_PER_REQUEST));
    }

    /** Decides what follows after a failure; charges the retry budget where retries are limited. */
    NextStep afterFailure(RequestState request, long nowMicros) {
        if (deadlines.isOutOfTime(request, nowMicros)) {
            return NextStep.GIVE_UP;
        }
        if (regimes.current().limitsRetries() && !chargeRetry()) {
            return NextStep.GIVE_UP;
        }
        if (request.mayHaveRun()) {
            return NextStep.RETRY_AT_ONCE;
        }
        return hasAttemptsLeft(request) ? NextStep.QUEUE_AGAIN : NextStep.GIVE_UP;
    }

    /** Charges a retry to the budget and returns whether the budget allowed it. A refused retry is charged, too. */
    private boolean chargeRetry() {
        return budget-- >= 1;
    }

    private boolean hasAttemptsLeft(RequestState request) {
        return request.attempts.size() < limits.maxAttempts();
    }

    /** Whether the request may be sent to this upstream now, as a first attempt, a retry or a hedged request. */
    boolean mayAttempt(RequestState request, UpstreamState upstream, long nowMicros) {
        return isOpen(request, nowMicros)
                && hasAttemptsLeft(request)
                && accepts(upstream)
                && (limits.hedging() || !request.hasOutstandingAttempt())
                && mayRunAgain(request, upstream, nowMicros);
    }

    private static boolean isOpen(RequestState request, long nowMicros) {
        return !request.ended && !request.streaming && nowMicros < request.deadlineMicros;
    }

    private static boolean accepts(UpstreamState upstream) {
        return upstream.endpoint().state() == State.READY && !upstream.plan.draining();
    }

    /**
     * Whether this upstream may run the request although an earlier attempt may have run: the request is safe, or the
     * upstreams share idempotency keys and the earlier one still remembers the key. The window is that of
     * {@code sedgeyoke.proxy.exchange.AttemptProgress#resendDeadlineMicros}, less a margin.
     */
    private boolean mayRunAgain(RequestState request, UpstreamState upstream, long nowMicros) {
        AttemptState earlier = request.firstThatMayHaveRun();
        RequestClass requestClass = request.requestClass;
        if (earlier == null || requestClass.effect() == Effect.SAFE) {
            return true;
        }
        long windowMicros = requestClass.deduplicationWindowMicros() - deadlines.marginMicros();
        return requestClass.effect() == Effect.IDEMPOTENT_WITH_KEY
                && sharesKeys(requestClass.scope(), earlier.upstream, upstream)
                && nowMicros - earlier.sentAtMicros < windowMicros
                && (requestClass.scope() == Scope.ALL
                        || actions.reachesListedProcess(request.request.id(), upstream.id));
    }

    private static boolean sharesKeys(Scope scope, UpstreamState earlier, UpstreamState next) {
        return scope == Scope.ALL
                || (scope == Scope.ZONE
                        && earlier.endpoint().zone() == next.endpoint().zone())
                || (scope == Scope.CELL
                        && earlier.endpoint().cell() == next.endpoint().cell());
    }

    /** Whether a final response may tell the client that a retry is harmless. */
    static boolean mayReject(RequestState request) {
        RequestClass requestClass = request.requestClass;
        return !request.mayHaveRun() || requestClass.effect().isRetryHarmless(requestClass.scope());
    }
}
