package sedgeyoke.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sedgeyoke.policy.PolicyFixtures.NOW;
import static sedgeyoke.policy.PolicyFixtures.SECOND;

import java.util.List;
import org.junit.jupiter.api.Test;

/** How weights depend on the difference between an upstream's utilisation and the mean. */
class UtilizationReweightingTest {
    private static final double EXACT = 1e-9;
    private final PolicyFixtures policy = new PolicyFixtures();
    private final UtilizationReweighting reweighting =
            new UtilizationReweighting(policy.reports, policy.ratings, policy.jitter);
    private final List<UpstreamState> upstreams = policy.upstreams(3);

    @Test
    void theLogWeightMovesByAQuarterOfTheDistanceFromTheMean() {
        report(0, 0.8);
        report(1, 0.4);
        reweighting.reweight(upstreams, NOW);
        assertEquals(StrictMath.exp(-0.25 * 0.2), weight(0), EXACT);
        assertEquals(StrictMath.exp(0.25 * 0.2), weight(1), EXACT);
    }

    @Test
    void anUpstreamWithoutARecentReportGetsTheMeanWeight() {
        report(0, 0.8);
        report(1, 0.4);
        reweighting.reweight(upstreams, NOW);
        assertEquals(1, weight(2), EXACT);
    }

    @Test
    void theLogWeightIsBoundedByOneAndAHalf() {
        for (int period = 0; period < 100; period++) {
            report(0, 1);
            report(1, 0);
            reweighting.reweight(upstreams, NOW);
        }
        assertEquals(StrictMath.exp(-1.5), weight(0), EXACT);
        assertEquals(StrictMath.exp(1.5), weight(1), EXACT);
    }

    @Test
    void withoutReportsAPeriodForgetsAFiftiethOfTheLogWeight() {
        report(0, 0.8);
        report(1, 0.4);
        reweighting.reweight(upstreams, NOW);
        double logWeight = StrictMath.log(weight(0));
        reweighting.reweight(upstreams, NOW + 10 * SECOND);
        assertEquals(logWeight * 0.98, StrictMath.log(weight(0)), EXACT);
    }

    @Test
    void aPeriodIsDueOnceItsTimeHasPassed() {
        reweighting.start(NOW);
        assertFalse(reweighting.isDue(NOW + 125_000 - 1));
        assertTrue(reweighting.isDue(NOW + 375_000));
        long periodMicros = reweighting.beginPeriod(NOW);
        assertFalse(reweighting.isDue(NOW + periodMicros - 1));
        assertTrue(reweighting.isDue(NOW + periodMicros));
    }

    private void report(int number, double utilisation) {
        policy.reports.record(upstreams.get(number), PolicyHarness.report(utilisation), NOW);
    }

    private double weight(int number) {
        return reweighting.weight(upstreams.get(number));
    }
}
