package sedgeyoke.policy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sedgeyoke.policy.PolicyFixtures.NOW;

import java.util.List;
import org.junit.jupiter.api.Test;
import sedgeyoke.policy.LoadBalancingPolicy.Effect;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.policy.LoadBalancingPolicy.Request;
import sedgeyoke.policy.LoadBalancingPolicy.State;

/** Whether an upstream may take a request now. */
class UpstreamEligibilityTest {
    private final PolicyFixtures policy = new PolicyFixtures();
    private final UpstreamEligibility eligibility = policy.eligibility;
    private final UpstreamState upstream = policy.upstream(0);

    @Test
    void aReadyUpstreamIsEligibleForANewRequest() {
        assertTrue(eligibility.isEligible(upstream, policy.arrived(Effect.UNSAFE), false, NOW));
    }

    @Test
    void anEjectedUpstreamIsEligibleInAPanicOnly() {
        policy.outliers.eject(upstream, NOW);
        RequestState request = policy.arrived(Effect.SAFE);
        assertFalse(eligibility.isEligible(upstream, request, false, NOW));
        assertTrue(eligibility.isEligible(upstream, request, true, NOW));
    }

    @Test
    void noUpstreamIsEligibleForAnUnsafeRequestThatMayHaveRunEvenInAPanic() {
        RequestState request = policy.arrived(Effect.UNSAFE);
        request.end(PolicyFixtures.begin(request, policy.upstream(1), NOW), Outcome.RESET);
        assertFalse(eligibility.isEligible(upstream, request, false, NOW));
        assertFalse(eligibility.isEligible(upstream, request, true, NOW));
    }

    @Test
    void aWarmingUpUpstreamIsNotEligibleBeyondItsQuotaEvenInAPanic() {
        UpstreamState launched = policy.upstream(PolicyHarness.upstream(1, State.READY, NOW));
        RequestState request = policy.arrived(Effect.SAFE);
        assertFalse(eligibility.isEligible(launched, request, false, NOW)); // a new bucket has less than one token
        assertFalse(eligibility.isEligible(launched, request, true, NOW));
    }

    @Test
    void aRequestPastItsDeadlineHasNoEligibleUpstream() {
        RequestState request = policy.arrived(new Request("r", 0, 0, null, 100, 5, false, false));
        assertTrue(eligibility.isEligible(upstream, request, false, NOW + 4));
        assertFalse(eligibility.isEligible(upstream, request, false, NOW + 5));
    }

    @Test
    void anUpstreamHasCapacityUpToItsInFlightLimit() {
        occupy(upstream, 2);
        assertTrue(eligibility.hasCapacity(upstream, NOW)); // the limit of a new upstream is 3
        occupy(upstream, 1);
        assertFalse(eligibility.hasCapacity(upstream, NOW));
    }

    @Test
    void oneUpstreamWithCapacityIsEnough() {
        occupy(upstream, 3);
        assertFalse(eligibility.anyHasCapacity(List.of(), NOW));
        assertFalse(eligibility.anyHasCapacity(List.of(upstream), NOW));
        assertTrue(eligibility.anyHasCapacity(List.of(upstream, policy.upstream(1)), NOW));
    }

    private void occupy(UpstreamState occupied, int attempts) {
        for (int attempt = 0; attempt < attempts; attempt++) {
            PolicyFixtures.begin(policy.arrived(Effect.SAFE), occupied, NOW);
        }
    }
}
