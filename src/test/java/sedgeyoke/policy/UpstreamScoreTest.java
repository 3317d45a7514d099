package sedgeyoke.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static sedgeyoke.policy.PolicyFixtures.NOW;
import static sedgeyoke.policy.PolicyFixtures.SECOND;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import sedgeyoke.policy.LoadBalancingPolicy.Effect;
import sedgeyoke.policy.LoadBalancingPolicy.LoadReport;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.policy.LoadBalancingPolicy.Plan;
import sedgeyoke.policy.LoadBalancingPolicy.State;

/**
 * The score: (weight / (in flight + 1))^4 with dense traffic, and weight / slowness / (all in flight + 1)^4 with sparse
 * traffic.
 */
class UpstreamScoreTest {
    private static final double EXACT = 1e-12;
    /** The cross-zone price at which the weight of the own zone is 2. */
    private static final double DOUBLING_PRICE = 1 / 80.0;

    private final PolicyHarness.Config config = new PolicyHarness.Config();

    @Test
    void anIdleUpstreamOfWeightOneScoresOneInBothRegimes() {
        PolicyFixtures policy = new PolicyFixtures(config);
        assertEquals(1, score(policy, policy.upstream(0)), EXACT);
        policy.sparse();
        assertEquals(1, score(policy, policy.upstream(0)), EXACT);
    }

    @Test
    void theScoreIsDividedByTheFourthPowerOfRequestsInFlightPlusOne() {
        PolicyFixtures policy = new PolicyFixtures(config);
        UpstreamState upstream = policy.upstream(0);
        PolicyFixtures.begin(policy.arrived(Effect.SAFE), upstream, NOW);
        assertEquals(1 / 16.0, score(policy, upstream), EXACT);
        PolicyFixtures.begin(policy.arrived(Effect.SAFE), upstream, NOW);
        assertEquals(1 / 81.0, score(policy, upstream), EXACT);
        policy.sparse();
        assertEquals(1 / 81.0, score(policy, upstream), EXACT);
    }

    @Test
    void onlySparseTrafficCountsTheRequestsThatALoadReportShows() {
        PolicyFixtures policy = new PolicyFixtures(config);
        UpstreamState upstream = policy.upstream(0);
        policy.reports.record(upstream, new LoadReport(0.5, 3, 0, Double.NaN, Double.NaN, Double.NaN), NOW);
        assertEquals(1, score(policy, upstream), EXACT);
        policy.sparse();
        assertEquals(1 / 256.0, score(policy, upstream), EXACT);
    }

    @Test
    void onlySparseTrafficDividesBySlowness() {
        PolicyFixtures policy = new PolicyFixtures(config);
        UpstreamState slow = policy.upstream(1);
        policy.reports.record(policy.upstream(0), PolicyFixtures.serviceTimeReport(1_000), NOW);
        policy.reports.record(slow, PolicyFixtures.serviceTimeReport(2_000), NOW);
        assertEquals(1, score(policy, slow), EXACT);
        policy.sparse();
        // The second of two samples moves the mean by 0.02 of its distance: to 1,020 microseconds.
        assertEquals(1_020 / 2_000.0, score(policy, slow), EXACT);
    }

    @Test
    void theWeightOfTheOwnZoneCountsInItsFourthPowerOnlyWithDenseTraffic() {
        config.crossZone = DOUBLING_PRICE;
        PolicyFixtures policy = new PolicyFixtures(config);
        assertEquals(16, score(policy, policy.upstream(0)), EXACT);
        assertEquals(1, score(policy, policy.upstream(1)), EXACT);
        policy.sparse();
        assertEquals(2, score(policy, policy.upstream(0)), EXACT);
    }

    @Test
    void aPlanOfFullStrengthCanGiveAnotherZoneTheWeightOfTheOwnOne() {
        config.crossZone = DOUBLING_PRICE;
        PolicyFixtures policy = new PolicyFixtures(config);
        UpstreamState elsewhere = policy.upstream(1);
        long fullStrengthAt = NOW + 2 * SECOND;
        policy.plans.update(NOW, spillover(NOW));
        policy.plans.update(NOW, spillover(fullStrengthAt));
        policy.plans.apply(List.of(elsewhere), fullStrengthAt);
        RequestState request = policy.arrived(Effect.SAFE);
        assertEquals(16, policy.score.score(elsewhere, request, false, fullStrengthAt), EXACT);
    }

    @Test
    void theAffinityUpstreamScoresMoreByTheFourthPowerOfTheAffinityWeight() {
        PolicyFixtures policy = new PolicyFixtures(config);
        RequestState request = policy.arrived(Effect.SAFE);
        assertEquals(StrictMath.pow(2.5, 4), policy.score.score(policy.upstream(0), request, true, NOW), EXACT);
        policy.sparse();
        assertEquals(StrictMath.pow(5, 4), policy.score.score(policy.upstream(0), request, true, NOW), EXACT);
    }

    @Test
    void onlySparseTrafficPrefersAWarmingUpUpstream() {
        PolicyFixtures policy = new PolicyFixtures(config);
        UpstreamState launched = policy.upstream(PolicyHarness.upstream(0, State.READY, NOW));
        assertEquals(StrictMath.pow(0.2, 4), score(policy, launched), EXACT);
        policy.sparse();
        assertEquals(0.2 * StrictMath.pow(5, 4), score(policy, launched), EXACT);
    }

    @Test
    void theWeightIsMultipliedByTheSquareOfTheShareOfSuccesses() {
        PolicyFixtures policy = new PolicyFixtures(config);
        UpstreamState upstream = policy.upstream(0);
        policy.outliers.recordError(upstream, Outcome.RESET, NOW); // an error rate of 0.15
        assertEquals(StrictMath.pow(0.85 * 0.85, 4), score(policy, upstream), EXACT);
    }

    @Test
    void aRecoveringUpstreamWeighsLessAndLeastForUnsafeRequests() {
        PolicyFixtures policy = new PolicyFixtures(config);
        UpstreamState upstream = policy.upstream(0);
        policy.outliers.eject(upstream, NOW);
        RequestState unsafe = policy.arrived(Effect.UNSAFE);
        assertEquals(StrictMath.pow(0.3, 4), score(policy, upstream), EXACT);
        assertEquals(StrictMath.pow(0.02, 4), policy.score.score(upstream, unsafe, false, NOW), EXACT);
    }

    private static Plan spillover(long lastContactMicros) {
        return new Plan(lastContactMicros, 4 * SECOND, List.of(), List.of(0.5, 0.5, 0.0), 0, Map.of());
    }

    private static double score(PolicyFixtures policy, UpstreamState upstream) {
        return policy.score.score(upstream, policy.arrived(Effect.SAFE), false, NOW);
    }
}
