package sedgeyoke.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sedgeyoke.policy.PolicyFixtures.MILLI;
import static sedgeyoke.policy.PolicyFixtures.NOW;
import static sedgeyoke.policy.PolicyFixtures.SECOND;

import org.junit.jupiter.api.Test;
import sedgeyoke.policy.LoadBalancingPolicy.Effect;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.policy.LoadBalancingPolicy.Scope;
import sedgeyoke.policy.LoadBalancingPolicy.State;
import sedgeyoke.policy.LoadBalancingPolicy.Upstream;
import sedgeyoke.policy.LoadBalancingPolicy.UpstreamView;
import sedgeyoke.policy.RetryPolicy.NextStep;

/** Which attempts are allowed, what follows a failure, and which final response may be a rejection. */
class RetryPolicyTest {
    /** A request is out of time this long before its deadline: one sweep period and three clock ticks of 5 ms. */
    private static final long MARGIN = 25 * MILLI;

    private static final int MAX_ATTEMPTS = 4;
    private final PolicyHarness.Config config = new PolicyHarness.Config();

    @Test
    void onlyAnUnsafeRequestThatMayHaveRunIsNotSentAgain() {
        for (Effect effect : Effect.values()) {
            assertTrue(mayAttemptAfter(effect, Outcome.REJECTED), effect.name());
            assertEquals(effect != Effect.UNSAFE, mayAttemptAfter(effect, Outcome.RESET), effect.name());
        }
    }

    private boolean mayAttemptAfter(Effect effect, Outcome outcome) {
        PolicyFixtures policy = new PolicyFixtures(config);
        RequestState request = policy.request(effect);
        UpstreamState upstream = policy.upstream(0);
        attempt(request, upstream, outcome);
        return retries(policy).mayAttempt(request, upstream, NOW);
    }

    @Test
    void aKeyAllowsARetryOnlyAtUpstreamsThatShareIt() {
        Upstream other = new Upstream("other", 1, 0, 1, State.READY, 1, 0);
        Upstream sameZone = new Upstream("sameZone", 0, 0, 1, State.READY, 1, 0);
        Upstream sameCell = new Upstream("sameCell", 1, 0, 0, State.READY, 1, 0);
        for (Scope scope : Scope.values()) {
            assertEquals(scope == Scope.ALL, mayRetryAt(scope, other), scope.name());
            assertEquals(scope != Scope.CELL, mayRetryAt(scope, sameZone), scope.name());
            assertEquals(scope != Scope.ZONE, mayRetryAt(scope, sameCell), scope.name());
        }
    }

    private boolean mayRetryAt(Scope scope, Upstream second) {
        config.scope = scope;
        PolicyFixtures policy = new PolicyFixtures(config);
        RequestState request = policy.request(Effect.IDEMPOTENT_WITH_KEY);
        attempt(request, policy.upstream(new Upstream("first", 0, 0, 0, State.READY, 1, 0)), Outcome.RESET);
        return retries(policy).mayAttempt(request, policy.upstream(second), NOW);
    }

    @Test
    void aKeyAllowsARetryOnlyWithinTheDeduplicationWindow() {
        PolicyFixtures policy = new PolicyFixtures(config);
        RequestState request = policy.request(Effect.IDEMPOTENT_WITH_KEY);
        UpstreamState upstream = policy.upstream(0);
        attempt(request, upstream, Outcome.RESET);
        long windowEnd = NOW + SECOND - MARGIN;
        assertTrue(retries(policy).mayAttempt(request, upstream, windowEnd - 1));
        assertFalse(retries(policy).mayAttempt(request, upstream, windowEnd));
    }

    @Test
    void aSecondOutstandingAttemptNeedsHedging() {
        for (boolean hedging : new boolean[] {false, true}) {
            config.hedging = hedging;
            PolicyFixtures policy = new PolicyFixtures(config);
            RequestState request = policy.request(Effect.SAFE);
            PolicyFixtures.begin(request, policy.upstream(0), NOW);
            assertEquals(hedging, retries(policy).mayAttempt(request, policy.upstream(1), NOW));
        }
    }

    @Test
    void attemptsAreLimited() {
        PolicyFixtures policy = new PolicyFixtures(config);
        RequestState request = policy.request(Effect.SAFE);
        UpstreamState upstream = policy.upstream(0);
        for (int attempts = 0; attempts < MAX_ATTEMPTS; attempts++) {
            assertTrue(retries(policy).mayAttempt(request, upstream, NOW), attempts + " attempts");
            attempt(request, upstream, Outcome.REJECTED);
        }
        assertFalse(retries(policy).mayAttempt(request, upstream, NOW));
        assertEquals(NextStep.GIVE_UP, retries(policy).afterFailure(request, NOW));
    }

    @Test
    void aRequestThatHasEndedStreamsOrIsOverdueGetsNoAttempt() {
        PolicyFixtures policy = new PolicyFixtures(config);
        RequestState ended = policy.request(Effect.SAFE);
        ended.ended = true;
        RequestState streaming = policy.request(Effect.SAFE);
        streaming.streaming = true;
        RequestState overdue = policy.request(Effect.SAFE);
        UpstreamState upstream = policy.upstream(0);
        assertFalse(retries(policy).mayAttempt(ended, upstream, NOW));
        assertFalse(retries(policy).mayAttempt(streaming, upstream, NOW));
        assertFalse(retries(policy).mayAttempt(overdue, upstream, overdue.deadlineMicros));
    }

    @Test
    void anUpstreamThatTheListOrAPlanDrainsGetsNoAttempt() {
        PolicyFixtures policy = new PolicyFixtures(config);
        RequestState request = policy.request(Effect.SAFE);
        UpstreamState listed = policy.upstream(PolicyHarness.upstream(0, State.DRAINING, 0));
        UpstreamState planned = policy.upstream(1);
        policy.plans.record(planned, new UpstreamView(planned.id, Double.NaN, 0, true));
        assertFalse(retries(policy).mayAttempt(request, listed, NOW));
        assertFalse(retries(policy).mayAttempt(request, planned, NOW));
    }

    @Test
    void afterAFailureOnlyARequestThatMayHaveRunIsRetriedAtOnce() {
        assertEquals(NextStep.RETRY_AT_ONCE, stepAfter(Outcome.RESET, NOW));
        assertEquals(NextStep.QUEUE_AGAIN, stepAfter(Outcome.REJECTED, NOW));
    }

    @Test
    void afterAFailureARequestOutOfTimeIsGivenUp() {
        long outOfTime = NOW + 2 * SECOND - MARGIN;
        assertEquals(NextStep.QUEUE_AGAIN, stepAfter(Outcome.REJECTED, outOfTime - 1));
        assertEquals(NextStep.GIVE_UP, stepAfter(Outcome.REJECTED, outOfTime));
    }

    private NextStep stepAfter(Outcome outcome, long nowMicros) {
        PolicyFixtures policy = new PolicyFixtures(config);
        return retries(policy).afterFailure(failed(policy, outcome), nowMicros);
    }

    @Test
    void withSparseTrafficTheBudgetHoldsThreeRetries() {
        PolicyFixtures policy = new PolicyFixtures(config);
        policy.sparse();
        RetryPolicy retries = retries(policy);
        creditRequests(retries, 100);
        assertRetriesUntilGivenUp(3, retries, failed(policy, Outcome.RESET));
    }

    @Test
    void withSparseTrafficFiveRequestsAllowOneMoreRetry() {
        PolicyFixtures policy = new PolicyFixtures(config);
        policy.sparse();
        RetryPolicy retries = retries(policy);
        RequestState request = failed(policy, Outcome.RESET);
        for (int saved = 0; saved < 3; saved++) {
            assertEquals(NextStep.RETRY_AT_ONCE, retries.afterFailure(request, NOW));
        }
        creditRequests(retries, 5);
        assertRetriesUntilGivenUp(1, retries, request);
    }

    private static void creditRequests(RetryPolicy retries, int count) {
        for (int request = 0; request < count; request++) {
            retries.creditRequest();
        }
    }

    private static void assertRetriesUntilGivenUp(int count, RetryPolicy retries, RequestState request) {
        for (int retry = 0; retry < count; retry++) {
            assertEquals(NextStep.RETRY_AT_ONCE, retries.afterFailure(request, NOW), retry + " retries before");
        }
        assertEquals(NextStep.GIVE_UP, retries.afterFailure(request, NOW));
    }

    @Test
    void withDenseTrafficThereIsNoRetryBudget() {
        PolicyFixtures policy = new PolicyFixtures(config);
        RetryPolicy retries = retries(policy);
        RequestState request = failed(policy, Outcome.RESET);
        for (int retry = 0; retry < 20; retry++) {
            assertEquals(NextStep.RETRY_AT_ONCE, retries.afterFailure(request, NOW));
        }
    }

    @Test
    void aRequestThatNeverRanMayBeRejected() {
        PolicyFixtures policy = new PolicyFixtures(config);
        for (Effect effect : Effect.values()) {
            RequestState request = policy.request(effect);
            attempt(request, policy.upstream(0), Outcome.REJECTED);
            assertTrue(RetryPolicy.mayReject(request), effect.name());
        }
    }

    @Test
    void aRequestThatMayHaveRunMayBeRejectedIfARetryAnywhereIsHarmless() {
        for (Scope scope : Scope.values()) {
            config.scope = scope;
            assertTrue(mayRejectAfterReset(Effect.SAFE), scope.name());
            assertEquals(scope == Scope.ALL, mayRejectAfterReset(Effect.IDEMPOTENT_WITH_KEY), scope.name());
            assertFalse(mayRejectAfterReset(Effect.UNSAFE), scope.name());
        }
    }

    private boolean mayRejectAfterReset(Effect effect) {
        PolicyFixtures policy = new PolicyFixtures(config);
        RequestState request = policy.request(effect);
        attempt(request, policy.upstream(0), Outcome.RESET);
        return RetryPolicy.mayReject(request);
    }

    private static RetryPolicy retries(PolicyFixtures policy) {
        return new RetryPolicy(policy.settings, policy.deadlines, policy.regimes, policy.actions);
    }

    private static RequestState failed(PolicyFixtures policy, Outcome outcome) {
        RequestState request = policy.request(Effect.SAFE);
        attempt(request, policy.upstream(0), outcome);
        return request;
    }

    private static void attempt(RequestState request, UpstreamState upstream, Outcome outcome) {
        request.end(PolicyFixtures.begin(request, upstream, NOW), outcome);
    }
}
