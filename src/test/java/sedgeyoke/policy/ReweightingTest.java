package sedgeyoke.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import org.junit.jupiter.api.Test;
import sedgeyoke.policy.LoadBalancingPolicy.ListKind;
import sedgeyoke.policy.LoadBalancingPolicy.Ratings;
import sedgeyoke.policy.LoadBalancingPolicy.Reports;
import sedgeyoke.policy.LoadBalancingPolicy.State;
import sedgeyoke.policy.LoadBalancingPolicy.Upstream;

/** Weights that follow reported utilisation, ratings and health checks. */
class ReweightingTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;
    private final PolicyHarness.Config config = new PolicyHarness.Config();

    @Test
    void weightFallsAboveTheMeanUtilisationAndRisesBelow() {
        PolicyHarness h = PolicyHarness.of(config).list(3);
        for (int i = 0; i < 600; i++) {
            h.serve(0, 20 * MILLI, u -> u.equals("u0") ? 0.9 : u.equals("u1") ? 0.5 : 0.1);
        }
        assertTrue(h.attemptsAt("u0") < h.attemptsAt("u1"), h.perUpstream.toString());
        assertTrue(h.attemptsAt("u1") * 2 < h.attemptsAt("u2"), h.perUpstream.toString());
    }

    @Test
    void equalUtilisationKeepsSharesAlike() {
        PolicyHarness h = PolicyHarness.of(config).list(3);
        for (int i = 0; i < 600; i++) {
            h.serve(0, 20 * MILLI, u -> 0.6);
        }
        for (int i = 0; i < 3; i++) {
            assertEquals(200, h.attemptsAt("u" + i), 50, h.perUpstream.toString());
        }
    }

    @Test
    void withoutReportsSelectionFollowsRequestsInFlight() {
        PolicyHarness h = PolicyHarness.of(config).list(4);
        for (int i = 0; i < 4; i++) {
            h.request(2, 2 * SECOND);
        }
        assertTrue(h.perUpstream.size() >= 3, h.perUpstream.toString());
    }

    @Test
    void nominalRatingIsTheInitialWeight() {
        for (Ratings ratings : List.of(Ratings.NOMINAL, Ratings.NONE)) {
            config.ratings = ratings;
            PolicyHarness h = PolicyHarness.of(config);
            h.balancer.endpointsUpdated(
                    h.now,
                    ListKind.RESTORED,
                    List.of(
                            new Upstream("u0", 0, 0, 0, State.READY, 3, 0),
                            new Upstream("u1", 0, 0, 0, State.READY, 1, 0)));
            h.advance(SECOND);
            for (int i = 0; i < 200; i++) {
                h.serve(0, 20 * MILLI, u -> 0.5);
            }
            assertEquals(ratings == Ratings.NOMINAL, h.attemptsAt("u0") > 150, h.perUpstream.toString());
        }
    }

    @Test
    void invalidReportsAreIgnoredAndSlightExcessIsClamped() {
        double[] nonsense = {Double.NaN, -7, 1e9, Double.POSITIVE_INFINITY};
        PolicyHarness h = PolicyHarness.of(config).list(3);
        for (int i = 0; i < 400; i++) {
            double bad = nonsense[i % nonsense.length];
            h.serve(0, 20 * MILLI, u -> u.equals("u0") ? bad : 0.5);
        }
        assertEquals(133, h.attemptsAt("u0"), 50, h.perUpstream.toString());
        PolicyHarness full = PolicyHarness.of(config).list(3);
        for (int i = 0; i < 400; i++) {
            full.serve(0, 20 * MILLI, u -> u.equals("u0") ? 1.03 : 0.3);
        }
        assertTrue(full.attemptsAt("u0") < 80, full.perUpstream.toString());
    }

    @Test
    void healthChecksRunOnlyWhereReportsComeByThem() {
        PolicyHarness none = PolicyHarness.of(config).list(3);
        none.advance(5 * SECOND);
        assertTrue(none.probes.isEmpty());
        config.reports = Reports.BY_HEALTH_CHECK;
        PolicyHarness h = PolicyHarness.of(config).list(3);
        h.advance(60 * SECOND);
        assertEquals(3, new HashSet<>(h.probes).size());
        config.probes = false;
        PolicyHarness forbidden = PolicyHarness.of(config).list(3);
        forbidden.advance(5 * SECOND);
        assertTrue(forbidden.probes.isEmpty());
    }

    @Test
    void sameEventsGiveSameActionsAndInstancesAreIndependent() {
        List<List<String>> runs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            PolicyHarness h = PolicyHarness.of(config).list(5);
            PolicyHarness other = run == 0 ? null : PolicyHarness.of(config).list(2);
            for (int i = 0; i < 200; i++) {
                h.serve(i % 3, 15 * MILLI, u -> u.equals("u1") ? 0.9 : 0.4);
                if (other != null) {
                    other.serve(0, 90 * MILLI, u -> 1);
                }
            }
            runs.add(h.done);
        }
        assertEquals(runs.get(0), runs.get(1));
    }

    @Test
    void ownZoneIsPreferredWhereCrossingHasAPrice() {
        for (double price : new double[] {0, 0.05}) {
            config.crossZone = price;
            PolicyHarness h = PolicyHarness.of(config).list(3);
            for (int i = 0; i < 300; i++) {
                h.serve(0, 20 * MILLI, u -> 0.3);
            }
            assertEquals(price > 0, h.attemptsAt("u0") > 250, h.perUpstream.toString());
        }
    }
}
