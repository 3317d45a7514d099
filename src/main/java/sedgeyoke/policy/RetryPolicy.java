package sedgeyoke.policy;

import sedgeyoke.policy.LoadBalancingPolicy.Effect;
import sedgeyoke.policy.LoadBalancingPolicy.Scope;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;
import sedgeyoke.policy.LoadBalancingPolicy.State;

/** Decides which attempts and rejections the idempotency of a request allows, and keeps the retry budget. */
final class RetryPolicy {
    private static final double BUDGET_SHARE = 0.2; // retries as a share of requests
    private static final double MAX_BUDGET = 3; // retries that may be saved up

    private final Settings settings;
    private final long deadlineMargin;
    private double budget = MAX_BUDGET;

    RetryPolicy(Settings settings, long deadlineMargin) {
        this.settings = settings;
        this.deadlineMargin = deadlineMargin;
    }

    void creditRequest() {
        budget = Math.max(0, Math.min(MAX_BUDGET, budget + BUDGET_SHARE));
    }

    /** Charges one retry to the budget; false if none was left. */
    boolean chargeRetry() {
        return budget-- >= 1;
    }

    /** Whether the request may be sent to this upstream: at first, as a retry or as a hedged request. */
    boolean mayAttempt(RequestState request, UpstreamState upstream, long now) {
        boolean pending = !request.ended && !request.streaming && now < request.deadline;
        boolean attemptsLeft = request.attempts.size() < settings.limits().maxAttempts();
        boolean ready = upstream.entry.state() == State.READY && !upstream.plannedDraining;
        boolean blocked = request.outstanding > 0 && !settings.limits().hedging();
        if (!pending || !attemptsLeft || !ready || blocked) {
            return false;
        }
        Attempt earlier = request.firstThatMayHaveRun();
        if (earlier == null || request.requestClass.effect() == Effect.SAFE) {
            return true;
        }
        return request.requestClass.effect() == Effect.IDEMPOTENT_WITH_KEY
                && sameScope(request.requestClass.scope(), earlier.upstream, upstream)
                && now - earlier.sentAt < request.requestClass.deduplicationWindowMicros() - deadlineMargin;
    }

    private static boolean sameScope(Scope scope, UpstreamState earlier, UpstreamState next) {
        return scope == Scope.ALL
                || scope == Scope.ZONE && earlier.entry.zone() == next.entry.zone()
                || scope == Scope.CELL && earlier.entry.cell() == next.entry.cell();
    }

    /** Whether the client may be advised that a retry is harmless. */
    static boolean mayReject(RequestState request) {
        Effect effect = request.requestClass.effect();
        return effect == Effect.SAFE
                || request.firstThatMayHaveRun() == null
                || effect == Effect.IDEMPOTENT_WITH_KEY && request.requestClass.scope() == Scope.ALL;
    }
}
