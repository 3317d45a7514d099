package sedgeyoke.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Field;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
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
import sedgeyoke.policy.LoadBalancingPolicy.Reports;
import sedgeyoke.policy.LoadBalancingPolicy.State;
import sedgeyoke.policy.LoadBalancingPolicy.Upstream;

/** Each rule and each departure of the module, acting and not acting. */
class PolicyTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;
    private final PolicyHarness.Config config = new PolicyHarness.Config();

    private static int count(PolicyHarness h, String upstream) {
        return h.perUpstream.getOrDefault(upstream, 0);
    }

    // The mechanism

    @Test
    void weightFallsAboveTheMeanUtilisationAndRisesBelow() {
        PolicyHarness h = PolicyHarness.of(config).list(3);
        for (int i = 0; i < 600; i++) {
            h.serve(0, 20 * MILLI, u -> u.equals("u0") ? 0.9 : u.equals("u1") ? 0.5 : 0.1);
        }
        assertTrue(count(h, "u0") < count(h, "u1"), h.perUpstream.toString());
        assertTrue(count(h, "u1") * 2 < count(h, "u2"), h.perUpstream.toString());
    }

    @Test
    void equalUtilisationKeepsSharesAlike() {
        PolicyHarness h = PolicyHarness.of(config).list(3);
        for (int i = 0; i < 600; i++) {
            h.serve(0, 20 * MILLI, u -> 0.6);
        }
        for (int i = 0; i < 3; i++) {
            assertEquals(200, count(h, "u" + i), 50, h.perUpstream.toString());
        }
    }

    /** Machines are replaced all day by new ones under new ids; those that are gone must leave nothing behind. */
    @Test
    void upstreamsThatAreGoneAreForgotten() throws ReflectiveOperationException {
        PolicyHarness h = PolicyHarness.of(config).list(3);
        for (int i = 0; i < 100; i++) {
            h.balancer.endpointsUpdated(
                    h.now,
                    ListKind.CHANGES,
                    List.of(
                            new Upstream("n" + i, 0, 0, 0, State.READY, 1, 0),
                            new Upstream("n" + (i - 2), 0, 0, 0, State.REMOVED, 1, 0)));
        }
        Field known = UtilizationWeightedPolicy.class.getDeclaredField("byId");
        known.setAccessible(true);
        assertEquals(Set.of("u0", "u1", "u2", "n98", "n99"), ((Map<?, ?>) known.get(h.balancer)).keySet());
        h.balancer.endpointsUpdated(h.now, ListKind.COMPLETE, List.of(new Upstream("n99", 0, 0, 0, State.READY, 1, 0)));
        assertEquals(Set.of("n99"), ((Map<?, ?>) known.get(h.balancer)).keySet());
        h.serve(0, 20 * MILLI, u -> 0.5);
        assertEquals(Map.of("n99", 1), h.perUpstream);
    }

    @Test
    void withoutReportsPicksFollowInFlight() {
        PolicyHarness h = PolicyHarness.of(config).list(4);
        for (int i = 0; i < 4; i++) {
            h.request(2, 2 * SECOND);
        }
        assertTrue(h.perUpstream.size() >= 3, h.perUpstream.toString());
    }

    @Test
    void nominalRatingIsTheStartingWeightAndSilentOnesAreNot() {
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
            assertEquals(ratings == Ratings.NOMINAL, count(h, "u0") > 150, h.perUpstream.toString());
        }
    }

    @Test
    void nonsenseReportsAreNoReportsAndSlightExcessIsClamped() {
        double[] nonsense = {Double.NaN, -7, 1e9, Double.POSITIVE_INFINITY};
        PolicyHarness h = PolicyHarness.of(config).list(3);
        for (int i = 0; i < 400; i++) {
            double bad = nonsense[i % nonsense.length];
            h.serve(0, 20 * MILLI, u -> u.equals("u0") ? bad : 0.5);
        }
        assertEquals(133, count(h, "u0"), 50, h.perUpstream.toString());
        PolicyHarness full = PolicyHarness.of(config).list(3);
        for (int i = 0; i < 400; i++) {
            full.serve(0, 20 * MILLI, u -> u.equals("u0") ? 1.03 : 0.3);
        }
        assertTrue(count(full, "u0") < 80, full.perUpstream.toString());
    }

    @Test
    void probesRunOnlyWhereReportsComeByProbe() {
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

    // Factors on the weight

    @Test
    void ownZoneIsPreferredWhereCrossingHasAPrice() {
        for (double price : new double[] {0, 0.05}) {
            config.crossZone = price;
            PolicyHarness h = PolicyHarness.of(config).list(3);
            for (int i = 0; i < 300; i++) {
                h.serve(0, 20 * MILLI, u -> 0.3);
            }
            assertEquals(price > 0, count(h, "u0") > 250, h.perUpstream.toString());
        }
    }

    @Test
    void aKeyHasOneHomeWhereWarmKeysHelp() {
        for (boolean warm : new boolean[] {false, true}) {
            config.warmKeys = warm;
            PolicyHarness h = PolicyHarness.of(config).list(6);
            for (int i = 0; i < 200; i++) {
                String id = h.request(0, 2 * SECOND, "key", 20 * MILLI);
                h.advance(20 * MILLI);
                h.end(id, Outcome.OK, 20 * MILLI, null);
            }
            int most = h.perUpstream.values().stream().max(Integer::compare).orElse(0);
            assertEquals(warm, most > 150, h.perUpstream.toString());
        }
    }

    @Test
    void withScarceRoomHeldKeysGoHome() {
        config.warmKeys = true;
        PolicyHarness h = PolicyHarness.of(config).list(4);
        Map<String, String> homes = new HashMap<>();
        for (int i = 0; i < 40; i++) {
            String id = h.request(0, 2 * SECOND, "key" + i, 20 * MILLI);
            homes.put("key" + i, h.lastUpstream(id));
            h.advance(20 * MILLI);
            h.end(id, Outcome.OK, 20 * MILLI, null);
        }
        h.advance(SECOND);
        List<String> out = new ArrayList<>();
        Map<String, String> waiting = new LinkedHashMap<>();
        for (int i = 0; i < 120; i++) {
            String id = h.request(0, 2 * SECOND, "key" + i % 40, 20 * MILLI);
            if (h.lastUpstream(id) == null) {
                waiting.put(id, homes.get("key" + i % 40));
            } else {
                out.add(id);
            }
        }
        h.advance(20 * MILLI);
        out.forEach(id -> h.end(id, Outcome.OK, 20 * MILLI, null));
        waiting.keySet().removeIf(id -> h.lastUpstream(id) == null);
        long home = waiting.entrySet().stream()
                .filter(w -> w.getValue().equals(h.lastUpstream(w.getKey())))
                .count();
        assertTrue(waiting.size() > 8, "sent " + waiting.size());
        assertTrue(home > 0.75 * waiting.size(), home + " of " + waiting.size());
    }

    /**
     * Nobody answers and thousands are held: a further one must not cost more for it. Took minutes when each event
     * looked for the home of all that was held; now some hundred milliseconds.
     */
    @Test
    void whatIsHeldDoesNotMakeFurtherRequestsDear() {
        config.warmKeys = true;
        PolicyHarness h = PolicyHarness.of(config).list(10);
        assertTimeoutPreemptively(Duration.ofSeconds(20), () -> {
            for (int i = 0; i < 30_000; i++) {
                h.request(0, 2 * SECOND, "key" + i, 20 * MILLI);
            }
        });
        assertTrue(h.sends.size() < 100, "the rest is held: " + h.sends.size());
    }

    @Test
    void homesLieMostlyInTheOwnZoneWhereCrossingHasAPrice() {
        int[] own = new int[2];
        config.warmKeys = true;
        for (int priced = 0; priced < 2; priced++) {
            config.crossZone = priced * 0.0001;
            PolicyHarness h = PolicyHarness.of(config).list(6);
            for (int i = 0; i < 300; i++) {
                String id = h.request(0, 2 * SECOND, "key" + i, 20 * MILLI);
                h.advance(20 * MILLI);
                h.end(id, Outcome.OK, 20 * MILLI, null);
            }
            own[priced] = count(h, "u0") + count(h, "u3");
        }
        assertTrue(own[1] > own[0] + 50, own[0] + " " + own[1]);
    }

    @Test
    void rareErrorsAndSlowAnswersEjectNobody() {
        PolicyHarness h = PolicyHarness.of(config).list(3);
        for (int i = 0; i < 300; i++) {
            String id = h.request(0, 2 * SECOND);
            boolean slow = h.lastUpstream(id).equals("u0");
            h.advance(slow ? 60 * MILLI : 20 * MILLI);
            if (slow && i % 20 == 0) {
                h.end(id, Outcome.ERROR, 60 * MILLI, PolicyHarness.report(0.5));
            }
            h.end(id, Outcome.OK, 20 * MILLI, PolicyHarness.report(0.5));
        }
        assertTrue(count(h, "u0") > 40, h.perUpstream.toString());
        assertEquals(List.of(), h.cancelled);
    }

    @Test
    void quickErrorsEjectAnUpstreamThatWouldOtherwiseLookIdle() {
        PolicyHarness h = PolicyHarness.of(config).list(4);
        for (int i = 0; i < 300; i++) {
            String id = h.request(0, 2 * SECOND);
            h.advance(5 * MILLI);
            while (h.lastUpstream(id).equals("u0") && h.sends.get(id).size() < 4) {
                h.end(id, Outcome.ERROR, 5 * MILLI, PolicyHarness.report(0.01));
            }
            if (!h.lastUpstream(id).equals("u0")) {
                h.end(id, Outcome.OK, 5 * MILLI, PolicyHarness.report(0.5));
            }
        }
        assertTrue(count(h, "u0") < 40, h.perUpstream.toString());
    }

    @Test
    void aHangingUpstreamIsLeft() {
        PolicyHarness h = PolicyHarness.of(config).list(4);
        for (int i = 0; i < 200; i++) {
            String id = h.request(0, 2 * SECOND);
            h.advance(20 * MILLI);
            if (!h.lastUpstream(id).equals("u0")) {
                h.end(id, Outcome.OK, 20 * MILLI, PolicyHarness.report(0.5));
            }
        }
        assertTrue(count(h, "u0") > 0 && count(h, "u0") < 12, h.perUpstream.toString());
    }

    @Test
    void panicThresholdIgnoresEjectionsWhenNearlyAllAreEjected() {
        PolicyHarness h = PolicyHarness.of(config).list(3);
        for (int i = 0; i < 60; i++) {
            String id = h.request(0, 2 * SECOND);
            h.advance(5 * MILLI);
            for (int k = 0;
                    k < 4 && h.lastUpstream(id) != null && h.sends.get(id).size() > k;
                    k++) {
                h.end(id, Outcome.CONNECT_FAILED, 5 * MILLI, null);
            }
        }
        h.advance(100 * MILLI);
        h.perUpstream.clear();
        h.request(2, 2 * SECOND);
        h.advance(500 * MILLI);
        assertFalse(h.perUpstream.isEmpty());
    }

    @Test
    void failedConnectsEjectADeadUpstreamButNotOneThatStillAnswers() {
        for (boolean dead : new boolean[] {true, false}) {
            PolicyHarness h = PolicyHarness.of(config).list(1);
            String first = h.request(0, 2 * SECOND);
            String second = h.request(2, 2 * SECOND);
            h.advance(5 * MILLI);
            if (!dead) {
                h.end(first, Outcome.OK, 5 * MILLI, null);
            }
            h.end(second, Outcome.CONNECT_FAILED, 5 * MILLI, null);
            if (!dead) {
                h.end(second, Outcome.OK, 5 * MILLI, null);
            }
            h.change(PolicyHarness.up(1, State.READY, 0));
            h.advance(100 * MILLI);
            h.perUpstream.clear();
            for (int i = 0; i < 40; i++) {
                h.serve(0, 5 * MILLI, u -> 0.5);
            }
            assertEquals(dead, count(h, "u0") == 0, dead + h.perUpstream.toString());
        }
    }

    // In-flight limit, holding and shedding

    @Test
    void slowAnswersLowerTheInFlightLimitAndRequestsAreHeld() {
        PolicyHarness h = PolicyHarness.of(config).list(2);
        for (int i = 0; i < 60; i++) {
            String id = h.request(0, 2 * SECOND);
            if (h.lastUpstream(id) != null) {
                h.advance(i < 10 ? 20 * MILLI : 900 * MILLI);
                h.end(id, Outcome.OK, i < 10 ? 20 * MILLI : 900 * MILLI, null);
            }
        }
        h.perUpstream.clear();
        for (int i = 0; i < 20; i++) {
            h.request(0, 2 * SECOND);
        }
        int sent = h.perUpstream.values().stream().mapToInt(Integer::intValue).sum();
        assertTrue(sent <= 2, "sent " + sent);
    }

    /** In a large fleet our own answers are few: long work at idle upstreams closed them to thin traffic. */
    @Test
    void longAnswersLowerTheLimitOnlyWhereCoresAreReportedBusy() {
        for (double utilisation : new double[] {0.4, 0.95}) {
            PolicyHarness h = PolicyHarness.of(config).list(2);
            for (int i = 0; i < 60; i++) {
                h.serve(0, i < 10 ? 20 * MILLI : 300 * MILLI, u -> utilisation);
            }
            h.perUpstream.clear();
            for (int i = 0; i < 20; i++) {
                h.request(0, 2 * SECOND);
            }
            int sent =
                    h.perUpstream.values().stream().mapToInt(Integer::intValue).sum();
            assertEquals(utilisation > 0.9, sent <= 2, sent + " sent at " + utilisation);
        }
    }

    /** Its last report says nothing about the work that it has not answered since. */
    @Test
    void noAnswerInTimeLowersTheLimitWhateverWasReportedBefore() {
        PolicyHarness h = PolicyHarness.of(config).list(2);
        for (int i = 0; i < 10; i++) {
            h.serve(0, 20 * MILLI, u -> 0.4);
        }
        List<String> silent = List.of(h.request(2, 2 * SECOND), h.request(2, 2 * SECOND));
        h.advance(300 * MILLI);
        silent.forEach(id -> h.end(id, Outcome.TIMEOUT, 300 * MILLI, null));
        h.perUpstream.clear();
        for (int i = 0; i < 20; i++) {
            h.request(0, 2 * SECOND);
        }
        assertEquals(Map.of("u0", 1, "u1", 1), h.perUpstream);
    }

    @Test
    void withRoomNothingIsHeld() {
        PolicyHarness h = PolicyHarness.of(config).list(4);
        String id = h.request(0, 2 * SECOND);
        assertNotEquals(null, h.lastUpstream(id));
    }

    @Test
    void dearerHeldRequestsGoFirst() {
        PolicyHarness h = PolicyHarness.of(config);
        String cheap = h.request(0, 2 * SECOND);
        String dear = h.request(2, 2 * SECOND);
        assertNull(h.lastUpstream(cheap));
        h.list(1);
        int sentDear = h.done.indexOf(h.now + " send " + dear + " u0");
        int sentCheap = h.done.indexOf(h.now + " send " + cheap + " u0");
        assertTrue(sentDear >= 0 && sentDear < sentCheap, h.done.toString());
    }

    @Test
    void aMarkedRetryIsShedSoonerThanAFirstTryOnceRefusalsAreUsual() {
        for (boolean retry : new boolean[] {true, false}) {
            config.lateWorth = 0;
            PolicyHarness h = PolicyHarness.of(config);
            for (int i = 0; i < 100; i++) {
                h.request(0, 2 * SECOND);
                h.advance(510 * MILLI);
            }
            h.refused.clear();
            h.balancer.requestArrived(
                    h.now, new LoadBalancingPolicy.Request("again", 0, 0, null, 0, 2 * SECOND, false, retry));
            h.advance(100 * MILLI);
            assertEquals(retry, h.refused.contains("again"));
        }
    }

    @Test
    void whatLiesBeyondATenantsShareLosesItsPlace() {
        for (double allowance : new double[] {0, 1}) {
            config.tenants = List.of(new LoadBalancingPolicy.Tenant(allowance, 1));
            PolicyHarness h = PolicyHarness.of(config);
            String first = h.request(0, 2 * SECOND);
            String second = h.request(0, 2 * SECOND);
            h.list(1);
            int sentFirst = h.done.indexOf(h.now + " send " + first + " u0");
            int sentSecond = h.done.indexOf(h.now + " send " + second + " u0");
            assertEquals(allowance > 0, sentFirst < sentSecond, h.done.toString());
        }
    }

    @Test
    void heldRequestsPastTheirAimAreRefusedWhereLateIsWorthNothing() {
        for (double late : new double[] {0, 0.5}) {
            config.lateWorth = late;
            PolicyHarness h = PolicyHarness.of(config);
            h.request(0, 2 * SECOND);
            h.advance(600 * MILLI);
            assertEquals(late == 0 ? 1 : 0, h.refused.size());
            h.advance(1_500 * MILLI);
            assertEquals(1, h.refused.size());
        }
    }

    // More balancers than upstreams

    /** Incident i255b3e: limits far below one in flight refused nearly all while upstreams idled. */
    @Test
    void aLargeGroupDoesNotRefuseForALimitOnItsOwnInFlight() {
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
    void aLargeGroupPicksInProportionToTheRatingNotToItsFourthPower() {
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
        assertEquals(300, count(h, "u0"), 40, h.perUpstream.toString());
    }

    @Test
    void aSliverOfTrafficGoesToASampleThatDiffersBetweenBalancers() {
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
    void aKeyHasOneHomeForAllBalancersOfALargeGroupUnlessACrowdIsThere() {
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
    void inALargeGroupUpstreamsWhoseServiceTakesLongGetLess() {
        config.group = 300;
        PolicyHarness h = PolicyHarness.of(config).list(4);
        h.advance(2 * SECOND);
        for (int i = 0; i < 400; i++) {
            String id = h.request(0, 2 * SECOND);
            double service = h.lastUpstream(id).equals("u0") ? 800 * MILLI : 100 * MILLI;
            h.advance(20 * MILLI);
            h.end(id, Outcome.OK, 20 * MILLI, new LoadReport(0.5, Double.NaN, 0, service, 1, 0));
        }
        assertTrue(count(h, "u0") > 2 && count(h, "u0") < 50, h.perUpstream.toString());
    }

    /** Half the homes at slow machines crowded these while the fast ones had room. */
    @Test
    void inALargeGroupHomesAndPicksFollowTheSpeedOfKinds() {
        assertEquals(200, atSlow(1, i -> new Upstream("u" + i, 0, i % 2, 0, State.READY, 1, 0)), 60);
    }

    /** Zones are not equally large: homes in the own one, dealt out by kind alone, jammed the small ones. */
    @Test
    void inALargeGroupHomesLeaveAZoneWhereServiceTakesLonger() {
        config.crossZone = 0.06;
        int own = atSlow(0, i -> new Upstream("u" + i, i % 2, 0, 0, State.READY, 1, 0));
        assertTrue(own > 300 && own < 560, own + " of 800");
    }

    /** Of 800 keyed requests, after 400 others, those at every second upstream, three times as slow as the rest. */
    private int atSlow(int parity, IntFunction<Upstream> upstream) {
        config.group = 300;
        config.warmKeys = true;
        PolicyHarness h = PolicyHarness.of(config);
        h.balancer.endpointsUpdated(
                h.now,
                ListKind.RESTORED,
                IntStream.range(0, 40).mapToObj(upstream).toList());
        h.advance(2 * SECOND);
        int atSlow = 0;
        for (int i = 0; i < 1200; i++) {
            String id = h.request(0, 2 * SECOND, "key" + i, 20 * MILLI);
            boolean slow = Integer.parseInt(h.lastUpstream(id).substring(1)) % 2 == parity;
            atSlow += i >= 400 && slow ? 1 : 0;
            h.advance(20 * MILLI);
            h.end(id, Outcome.OK, 20 * MILLI, new LoadReport(0.5, Double.NaN, 0, slow ? 90 * MILLI : 30 * MILLI, 1, 0));
        }
        return atSlow;
    }

    /** Each of a hundred balancers went back to a jam as soon as its short ejection had ended, and kept it alive. */
    @Test
    void inALargeGroupAnUpstreamThatGaveNoAnswerInTimeIsNoHomeForAWhile() {
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
    void aReportedCrowdIsLeftAloneUntilTheReportHasFaded() {
        config.group = 300;
        PolicyHarness h = PolicyHarness.of(config).list(4);
        h.advance(2 * SECOND);
        for (int i = 0; i < 200; i++) {
            String id = h.request(0, 2 * SECOND);
            String at = h.lastUpstream(id);
            h.advance(20 * MILLI);
            h.end(id, Outcome.OK, 20 * MILLI, new LoadReport(0.5, at.equals("u0") ? 9 : 1, 0, 20, 1, 0));
        }
        assertTrue(count(h, "u0") > 2 && count(h, "u0") < 25, h.perUpstream.toString());
    }

    /** Incidents id2fe46 and i1f431d: a jammed fleet served everything, and all of it late. */
    @Test
    void whenAnswersTakeTheirWholeAimALargeGroupLetsLessInAndThenMoreAgain() {
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
    void fullQueuesEverywhereAreNotAskedOverAndOver() {
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

    // The rules

    @Test
    void anAnswerIsGivenBeforeTheClientsOwnTimeWithNoUpstreamAtAll() {
        PolicyHarness h = PolicyHarness.of(config);
        h.request(2, 300 * MILLI);
        h.advance(299 * MILLI);
        assertEquals(1, h.refused.size());
    }

    /** Deadlines were looked at on a beat of 10 ms, which is coarser than what a short tick leaves. */
    @Test
    void anAnswerIsGivenInTimeWhereverTheDeadlineFallsBetweenTwoLooks() {
        config.tick = MILLI;
        for (int offset = 0; offset < 12; offset++) {
            PolicyHarness h = PolicyHarness.of(config);
            h.advance(offset * MILLI);
            h.request(2, 300 * MILLI);
            h.advance(300 * MILLI);
            assertEquals(1, h.refused.size(), "offset " + offset);
        }
    }

    @Test
    void aTryWithHardlyAnyTimeLeftIsAnsweredAtOnce() {
        PolicyHarness h = PolicyHarness.of(config);
        h.request(2, 4 * MILLI);
        assertEquals(1, h.refused.size());
    }

    @Test
    void anUnsafeRequestThatMayHaveRunFailsAndIsNeverSentAgain() {
        PolicyHarness h = PolicyHarness.of(config).list(3);
        String id = h.request(2, 2 * SECOND);
        h.end(id, Outcome.RESET, MILLI, null);
        assertEquals(1, h.sends.get(id).size());
        assertEquals(List.of(id), h.failed);
    }

    @Test
    void anUnsafeRequestThatProvablyNeverRanIsSentAgain() {
        PolicyHarness h = PolicyHarness.of(config).list(3);
        String id = h.request(2, 2 * SECOND);
        h.end(id, Outcome.REJECTED, MILLI, null);
        h.advance(100 * MILLI);
        assertEquals(2, h.sends.get(id).size());
    }

    @Test
    void aKeyedRequestIsRepeatedOnlyWithinItsZoneAndTime() {
        PolicyHarness h = PolicyHarness.of(config).list(9);
        String id = h.request(1, 2 * SECOND);
        h.end(id, Outcome.RESET, MILLI, null);
        assertEquals(2, h.sends.get(id).size());
        List<Integer> zones = h.sends.get(id).stream()
                .map(u -> Integer.parseInt(u.substring(1)) % 3)
                .toList();
        assertEquals(zones.get(0), zones.get(1));
        h.advance(1_100 * MILLI);
        h.end(id, Outcome.RESET, 1_100 * MILLI, null);
        assertEquals(2, h.sends.get(id).size());
        assertEquals(List.of(id), h.failed);
    }

    @Test
    void nothingGoesToADrainingUpstreamFromTheMomentItIsTold() {
        PolicyHarness h = PolicyHarness.of(config).list(2);
        h.change(PolicyHarness.up(0, State.DRAINING, 0));
        for (int i = 0; i < 50; i++) {
            h.serve(0, 5 * MILLI, u -> 0.5);
        }
        assertEquals(0, count(h, "u0"));
        h.balancer.endpointsUpdated(h.now, ListKind.COMPLETE, List.of(PolicyHarness.up(2, State.READY, 0)));
        h.perUpstream.clear();
        h.serve(0, 5 * MILLI, u -> 0.5);
        assertEquals(Set.of("u2"), h.perUpstream.keySet());
    }

    @Test
    void aColdUpstreamGetsSomeWorkButLittle() {
        PolicyHarness h = PolicyHarness.of(config).list(3);
        for (int i = 0; i < 500; i++) {
            h.serve(0, 10 * MILLI, u -> 0.6);
        }
        h.change(PolicyHarness.up(0, State.READY, h.now - MILLI));
        h.perUpstream.clear();
        for (int i = 0; i < 500; i++) {
            h.serve(0, 10 * MILLI, u -> 0.6);
        }
        assertTrue(count(h, "u0") > 0 && count(h, "u0") < 60, h.perUpstream.toString());
    }

    /**
     * Six in ten replaced: the new ones got nothing until they were warm. What a mean request costs lagged behind
     * what each costs, so that nearly all were dearer than a bucket may hold, and buckets began in debt.
     */
    @Test
    void aColdUpstreamGetsItsPartOfThinTrafficFromTheStart() {
        assertTrue(coldShare(i -> null, false) > 0.05);
    }

    /** Then keys went home to warm ones that were full, while what the cold ones were due ran over and was lost. */
    @Test
    void aColdUpstreamGetsItsPartOfThinTrafficAlsoWhereKeysAreAtHomeElsewhere() {
        double share = coldShare(i -> "key" + i % 7, false);
        assertTrue(share > 0.09, "share " + share);
    }

    /** While seven in ten balancers were down, clients came again and again, and cold ones got twice their part. */
    @Test
    void clientsThatComeAgainDoNotRaiseTheBudgetOfColdUpstreams() {
        double first = coldShare(i -> "key" + i % 7, false);
        double again = coldShare(i -> "key" + i % 7, true);
        assertTrue(again < 0.7 * first, again + " and " + first);
    }

    /** One in eight fails fast: each of a hundred balancers needed five errors of it to see that. */
    @Test
    void inALargeGroupOneErrorSendsKeysElsewhereForSomeSeconds() {
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

    /** What the cold half of the upstreams gets of requests with such keys, three in four perhaps tried again. */
    private double coldShare(IntFunction<String> key, boolean again) {
        config.group = 300;
        config.warmKeys = true;
        int cold = 0;
        int all = 0;
        for (int seed = 0; seed < 60; seed++) {
            PolicyHarness h = PolicyHarness.of(config);
            h.balancer = new UtilizationWeightedPolicy(h.settings(), seed, h);
            h.balancer.start(h.now);
            h.list(10);
            for (int i = 0; i < 60; i++) {
                if (i == 20) {
                    for (int u = 5; u < 10; u++) {
                        h.change(PolicyHarness.up(u, State.READY, h.now));
                    }
                    h.perUpstream.clear();
                }
                h.again = again && i % 4 > 0;
                String id = h.request(i % 2, 2 * SECOND, key.apply(i), 0);
                h.advance(50 * MILLI);
                h.end(id, Outcome.OK, (i % 2 + 1) * 50 * MILLI, PolicyHarness.report(0.5));
            }
            cold += h.perUpstream.entrySet().stream()
                    .filter(e -> e.getKey().charAt(1) >= '5')
                    .mapToInt(Map.Entry::getValue)
                    .sum();
            all += h.perUpstream.values().stream().mapToInt(Integer::intValue).sum();
        }
        assertTrue(cold < all / 3, cold + " of " + all);
        return cold / (double) all;
    }

    @Test
    void halfTheFleetGoneUnknownToTheListCostsLittle() {
        PolicyHarness h = PolicyHarness.of(config).list(6);
        int failedConnects = 0;
        int served = 0;
        for (int i = 0; i < 400; i++) {
            String id = h.request(i % 3, 2 * SECOND);
            for (int tries = 0; tries < 4 && h.lastUpstream(id) != null; tries++) {
                h.advance(5 * MILLI);
                if (h.lastUpstream(id).compareTo("u3") >= 0) {
                    h.end(id, Outcome.OK, 5 * MILLI, PolicyHarness.report(0.5));
                    served++;
                    break;
                }
                failedConnects++;
                h.end(id, Outcome.CONNECT_FAILED, 5 * MILLI, null);
            }
        }
        assertTrue(served >= 395, "served " + served);
        assertTrue(failedConnects > 2 && failedConnects < 40, "failed connects " + failedConnects);
        for (int i = 3; i < 6; i++) {
            assertTrue(count(h, "u" + i) > 80, h.perUpstream.toString());
        }
    }

    /** Incident i618e92: small hints passed the bucket one by one, and their true work pushed the server over. */
    @Test
    void aColdUpstreamIsChargedAMeanRequestForEachSmallHint() {
        int[] sent = new int[2];
        for (int small = 0; small < 2; small++) {
            PolicyHarness h = PolicyHarness.of(config).list(3);
            for (int i = 0; i < 500; i++) {
                h.serve(0, 10 * MILLI, u -> 0.6);
            }
            h.change(PolicyHarness.up(0, State.READY, h.now - MILLI));
            h.change(PolicyHarness.up(1, State.REMOVED, 0));
            h.change(PolicyHarness.up(2, State.REMOVED, 0));
            h.sends.clear();
            Set<String> ended = new HashSet<>();
            for (int i = 0; i < 60; i++) {
                h.request(0, 2 * SECOND, null, small == 0 ? 20 * MILLI : 2 * MILLI);
                h.advance(20 * MILLI);
                for (String id : List.copyOf(h.sends.keySet())) {
                    if (h.lastUpstream(id).equals("u0") && ended.add(id)) {
                        h.end(id, Outcome.OK, 10 * MILLI, PolicyHarness.report(0.6));
                    }
                }
            }
            sent[small] = ended.size();
        }
        assertTrue(sent[0] > 0 && sent[1] > 0 && sent[1] <= 2 * sent[0], sent[0] + " " + sent[1]);
    }

    @Test
    void whenAllUpstreamsAreColdRequestsAreAnsweredInTimeAllTheSame() {
        PolicyHarness h = PolicyHarness.of(config);
        h.balancer.endpointsUpdated(h.now, ListKind.RESTORED, List.of(PolicyHarness.up(0, State.READY, h.now - MILLI)));
        for (int i = 0; i < 20; i++) {
            h.request(0, SECOND);
        }
        h.advance(2 * SECOND);
        int sent = h.sends.size();
        assertTrue(sent < 20);
        assertEquals(20, h.refused.size(), "all answered: none was served by this test's upstream");
    }

    // Shapes of settings

    @Test
    void aSubscriptionIsAskedForWhereTheListMustBeAsked() {
        config.ask = true;
        PolicyHarness h = PolicyHarness.of(config);
        assertTrue(h.done.contains(h.now + " watch true"));
        h.balancer.endpointsUpdated(h.now, ListKind.UNAVAILABLE, List.of());
        h.advance(5 * SECOND);
        assertTrue(h.done.stream().filter(d -> d.endsWith("watch true")).count() >= 2);
        config.ask = false;
        assertTrue(PolicyHarness.of(config).done.isEmpty());
    }

    /** What fails for one balancer fails for all: asking on at one pace keeps an overbooked discovery overbooked. */
    @Test
    void aSubscriptionThatFailsIsAskedForMoreAndMoreSeldomButWithinTheTimeAllowed() {
        config.ask = true;
        PolicyHarness h = PolicyHarness.of(config);
        long before = h.now;
        int asked = 1;
        List<Long> pauses = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            h.balancer.endpointsUpdated(h.now, ListKind.UNAVAILABLE, List.of());
            before = h.now;
            for (; asks(h) == asked; h.advance(10 * MILLI)) {
                assertTrue(h.now - before < 10 * SECOND, "never asked again");
            }
            asked++;
            pauses.add(h.now - before);
        }
        assertTrue(pauses.get(0) < SECOND, "soon at first: " + pauses);
        pauses.subList(3, 8).forEach(p -> assertTrue(p > SECOND && p < 5 * SECOND, "seldom later on: " + pauses));
        h.balancer.endpointsUpdated(h.now, ListKind.CHANGES, List.of());
        h.balancer.endpointsUpdated(h.now, ListKind.UNAVAILABLE, List.of());
        h.advance(SECOND);
        assertEquals(asked + 1, asks(h), "soon again after one that went well");
    }

    private static int asks(PolicyHarness h) {
        return (int) h.done.stream().filter(d -> d.endsWith("watch true")).count();
    }

    @Test
    void aStreamThatHasBegunIsLeftAlone() {
        config.stream = true;
        PolicyHarness h = PolicyHarness.of(config).list(1);
        String id = h.request(0, 500 * MILLI);
        h.balancer.responseStarted(h.now, id, 0);
        h.advance(5 * SECOND);
        assertEquals(List.of(), h.failed);
        assertEquals(List.of(), h.refused);
        assertEquals(List.of(), h.cancelled);
    }

    @Test
    void fiveHundredUpstreamsAndOneAreBothServed() {
        PolicyHarness many = PolicyHarness.of(config).list(500);
        PolicyHarness one = PolicyHarness.of(config).list(1);
        for (int i = 0; i < 100; i++) {
            many.serve(0, 5 * MILLI, u -> 0.5);
            one.serve(0, 5 * MILLI, u -> 0.5);
        }
        assertTrue(many.perUpstream.size() > 50);
        assertEquals(100, count(one, "u0"));
    }

    @Test
    void lateAndUnknownEventsAreIgnored() {
        PolicyHarness h = PolicyHarness.of(config).list(1);
        h.balancer.clientDisconnected(h.now, "never");
        h.balancer.healthCheckCompleted(h.now, "never", Outcome.OK, null);
        h.balancer.healthCheckCompleted(h.now, "u0", Outcome.TIMEOUT, null);
        h.balancer.timerFired(h.now, "never");
        h.balancer.peerMessageReceived(h.now, 1, new byte[0]);
        h.balancer.attemptEnded(
                h.now,
                new LoadBalancingPolicy.AttemptEnd(
                        "never", 0, "u0", Outcome.OK, 1, true, new LoadReport(1, 1, 1, 1, 1, 1)));
        assertTrue(h.done.isEmpty(), h.done.toString());
    }

    @Test
    void badSettingsAreRefusedWithTheFieldsName() {
        config.zones = 0;
        IllegalArgumentException e = assertThrows(IllegalArgumentException.class, () -> PolicyHarness.of(config));
        assertTrue(e.getMessage().contains("zones"));
        config.zones = 1;
        config.group = 0;
        e = assertThrows(IllegalArgumentException.class, () -> PolicyHarness.of(config));
        assertTrue(e.getMessage().contains("groupSize"));
    }
}
