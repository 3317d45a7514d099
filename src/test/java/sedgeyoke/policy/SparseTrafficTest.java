package sedgeyoke.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import sedgeyoke.policy.LoadBalancingPolicy.ListKind;
import sedgeyoke.policy.LoadBalancingPolicy.LoadReport;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.policy.LoadBalancingPolicy.Ratings;
import sedgeyoke.policy.LoadBalancingPolicy.State;
import sedgeyoke.policy.LoadBalancingPolicy.Upstream;

/** Decisions with more balancers than upstreams. */
class SparseTrafficTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;
    private final PolicyHarness.Config config = new PolicyHarness.Config();

    /** Incident i255b3e: limits far below one in flight refused nearly all while upstreams idled. */
    @Test
    void noRequestIsRejectedForTheOwnLimit() {
        config.group = 300;
        PolicyHarness h = PolicyHarness.of(config).list(40);
        for (int i = 0; i < 100; i++) {
            h.serve(i % 3, 200 * MILLI, u -> 0.6);
        }
        assertEquals(List.of(), h.refused);
        assertEquals(100, h.sends.size());
    }

    /** With the rating to the fourth power, the large machines of a mixed fleet got nearly all. */
    @Test
    void selectionIsInProportionToTheRating() {
        config.group = 300;
        config.ratings = Ratings.NOMINAL;
        PolicyHarness h = PolicyHarness.of(config);
        h.balancer.endpointsUpdated(
                h.now,
                ListKind.RESTORED,
                List.of(
                        new Upstream("u0", 0, 0, 0, State.READY, 3, 0),
                        new Upstream("u1", 0, 0, 0, State.READY, 1, 0)));
        h.advance(SECOND);
        for (int i = 0; i < 400; i++) {
            h.serve(0, 20 * MILLI, u -> 0.5);
        }
        assertEquals(300, h.attemptsAt("u0"), 40, h.perUpstream.toString());
    }

    @Test
    void aperturesDifferBetweenBalancers() {
        config.group = 300;
        Set<String> all = new HashSet<>();
        for (int position = 0; position < 8; position++) {
            config.position = position;
            PolicyHarness h = PolicyHarness.of(config).list(40);
            h.advance(3 * SECOND);
            h.perUpstream.clear();
            for (int i = 0; i < 60; i++) {
                h.serve(0, 300 * MILLI, u -> 0.5);
            }
            assertTrue(h.perUpstream.size() <= 16, h.perUpstream.toString());
            all.addAll(h.perUpstream.keySet());
        }
        assertEquals(40, all.size());
    }

    /** A hundred balancers that each spread a key over a sample of their own serve it cold nearly everywhere. */
    @Test
    void allBalancersShareAffinityUpstreamsUnlessTheseAreOverloaded() {
        config.group = 300;
        config.warmKeys = true;
        String home = null;
        for (boolean crowded : new boolean[] {false, true}) {
            Map<String, Integer> everywhere = new HashMap<>();
            for (int position = 0; position < 16; position++) {
                config.position = position;
                PolicyHarness h = PolicyHarness.of(config).list(40);
                h.advance(3 * SECOND);
                for (int i = 0; i < 20; i++) {
                    String id = h.request(0, 2 * SECOND, "key", 20 * MILLI);
                    h.advance(100 * MILLI);
                    double waiting = crowded && h.lastUpstream(id).equals(home) ? 30 : 0.5;
                    h.end(id, Outcome.OK, 100 * MILLI, new LoadReport(0.5, Double.NaN, waiting, 20, 1, 0));
                }
                h.perUpstream.forEach((u, n) -> everywhere.merge(u, n, Integer::sum));
            }
            home = crowded ? home : Collections.max(everywhere.keySet(), Comparator.comparing(everywhere::get));
            assertEquals(!crowded, everywhere.get(home) > 240, everywhere.toString());
        }
    }

    /** Requests at work share the cores there, so that nothing waits and a crowd shows in the service time alone. */
    @Test
    void upstreamsWithLongServiceTimesGetLess() {
        config.group = 300;
        PolicyHarness h = PolicyHarness.of(config).list(4);
        h.advance(2 * SECOND);
        for (int i = 0; i < 400; i++) {
            String id = h.request(0, 2 * SECOND);
            double service = h.lastUpstream(id).equals("u0") ? 800 * MILLI : 100 * MILLI;
            h.advance(20 * MILLI);
            h.end(id, Outcome.OK, 20 * MILLI, new LoadReport(0.5, Double.NaN, 0, service, 1, 0));
        }
        assertTrue(h.attemptsAt("u0") > 2 && h.attemptsAt("u0") < 50, h.perUpstream.toString());
    }

    /** Half the homes at slow machines crowded these while the fast ones had room. */
    @Test
    void affinityAndSelectionFollowTheSpeedOfKinds() {
        assertEquals(200, requestsAtSlowUpstreams(1, i -> new Upstream("u" + i, 0, i % 2, 0, State.READY, 1, 0)), 60);
    }

    /** Zones are not equally large: homes in the own one, dealt out by kind alone, jammed the small ones. */
    @Test
    void affinityAvoidsAZoneWithLongServiceTimes() {
        config.crossZone = 0.06;
        int own = requestsAtSlowUpstreams(0, i -> new Upstream("u" + i, i % 2, 0, 0, State.READY, 1, 0));
        assertTrue(own > 300 && own < 560, own + " of 800");
    }

    /** Of 800 keyed requests, after 400 others, those at every second upstream, three times as slow as the rest. */
    private int requestsAtSlowUpstreams(int parity, IntFunction<Upstream> upstream) {
        config.group = 300;
        config.warmKeys = true;
        PolicyHarness h = PolicyHarness.of(config);
        h.balancer.endpointsUpdated(
                h.now,
                ListKind.RESTORED,
                IntStream.range(0, 40).mapToObj(upstream).toList());
        h.advance(2 * SECOND);
        int requestsAtSlowUpstreams = 0;
        for (int i = 0; i < 1200; i++) {
            String id = h.request(0, 2 * SECOND, "key" + i, 20 * MILLI);
            boolean slow = Integer.parseInt(h.lastUpstream(id).substring(1)) % 2 == parity;
            requestsAtSlowUpstreams += i >= 400 && slow ? 1 : 0;
            h.advance(20 * MILLI);
            h.end(id, Outcome.OK, 20 * MILLI, new LoadReport(0.5, Double.NaN, 0, slow ? 90 * MILLI : 30 * MILLI, 1, 0));
        }
        return requestsAtSlowUpstreams;
    }

    /** Each of a hundred balancers went back to a jam as soon as its short ejection had ended, and kept it alive. */
    @Test
    void aTimeoutSuspendsAffinityForAWhile() {
        config.group = 300;
        config.warmKeys = true;
        PolicyHarness h = PolicyHarness.of(config).list(12);
        h.advance(2 * SECOND);
        String home = null;
        for (int i = 0; i < 60; i++) {
            String id = h.request(0, 2 * SECOND, "key", 0);
            home = h.lastUpstream(id);
            h.advance(300 * MILLI);
            h.end(id, Outcome.OK, 300 * MILLI, new LoadReport(0.5, Double.NaN, 0, 300 * MILLI, 1, 0));
        }
        String silent = h.request(0, 2 * SECOND, "key", 0);
        assertEquals(home, h.lastUpstream(silent));
        h.advance(1_950 * MILLI);
        h.end(silent, Outcome.CANCELLED, 1_950 * MILLI, null);
        h.advance(1_500 * MILLI); // its ejection has ended by now
        String later = h.request(0, 2 * SECOND, "key", 0);
        assertNotEquals(home, h.lastUpstream(later));
        h.end(later, Outcome.OK, 300 * MILLI, new LoadReport(0.5, Double.NaN, 0, 300 * MILLI, 1, 0));
        h.advance(8 * SECOND);
        assertEquals(home, h.lastUpstream(h.request(0, 2 * SECOND, "key", 0)));
    }

    @Test
    void manyReportedRequestsKeepOthersAwayUntilTheReportFades() {
        config.group = 300;
        PolicyHarness h = PolicyHarness.of(config).list(4);
        h.advance(2 * SECOND);
        for (int i = 0; i < 200; i++) {
            String id = h.request(0, 2 * SECOND);
            String at = h.lastUpstream(id);
            h.advance(20 * MILLI);
            h.end(id, Outcome.OK, 20 * MILLI, new LoadReport(0.5, at.equals("u0") ? 9 : 1, 0, 20, 1, 0));
        }
        assertTrue(h.attemptsAt("u0") > 2 && h.attemptsAt("u0") < 25, h.perUpstream.toString());
    }

    /** Incidents id2fe46 and i1f431d: a jammed fleet served everything, and all of it late. */
    @Test
    void admissionFallsWhileResponsesTakeTheirObjectiveAndRecovers() {
        config.group = 300;
        PolicyHarness h = PolicyHarness.of(config).list(4);
        for (int i = 0; i < 60; i++) {
            h.serve(0, 900 * MILLI, u -> 1);
        }
        int refused = h.refused.size();
        assertTrue(refused > 20, "refused " + refused);
        for (int i = 0; i < 400; i++) {
            h.serve(0, 20 * MILLI, u -> 0.5);
        }
        h.refused.clear();
        for (int i = 0; i < 50; i++) {
            h.serve(0, 20 * MILLI, u -> 0.5);
        }
        assertEquals(List.of(), h.refused);
    }

    @Test
    void rejectionsEverywhereAreNotRetriedAgainAndAgain() {
        config.group = 300;
        PolicyHarness h = PolicyHarness.of(config).list(20);
        for (int i = 0; i < 50; i++) {
            String id = h.request(0, 2 * SECOND);
            while (h.lastUpstream(id) != null && !h.refused.contains(id)) {
                h.end(id, Outcome.REJECTED, MILLI, null);
                h.advance(20 * MILLI);
            }
        }
        int sends = h.sends.values().stream().mapToInt(List::size).sum();
        assertTrue(sends <= 50 * 1.2 + 3, "sends " + sends);
    }

    /** One in eight fails fast: each of a hundred balancers needed five errors of it to see that. */
    @Test
    void oneErrorSuspendsAffinityForSomeSeconds() {
        config.group = 300;
        config.warmKeys = true;
        PolicyHarness h = PolicyHarness.of(config).list(12);
        h.advance(2 * SECOND);
        String failed = h.request(0, 2 * SECOND, "key", 0);
        String home = h.lastUpstream(failed);
        h.advance(10 * MILLI);
        h.end(failed, Outcome.ERROR, 10 * MILLI, null);
        int elsewhere = 0;
        for (int i = 0; i < 10; i++) {
            String id = h.request(0, 2 * SECOND, "key", 0);
            elsewhere += h.lastUpstream(id).equals(home) ? 0 : 1;
            h.advance(10 * MILLI);
            h.end(id, Outcome.OK, 10 * MILLI, PolicyHarness.report(0.5));
        }
        assertTrue(elsewhere >= 9, elsewhere + " of 10");
        h.advance(10 * SECOND);
        assertEquals(home, h.lastUpstream(h.request(0, 2 * SECOND, "key", 0)));
    }
}
