package sedgeyoke.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import sedgeyoke.policy.LoadBalancingPolicy.ListKind;
import sedgeyoke.policy.LoadBalancingPolicy.LoadReport;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.policy.LoadBalancingPolicy.State;
import sedgeyoke.policy.LoadBalancingPolicy.Upstream;
import sedgeyoke.policy.LoadBalancingPolicy.UpstreamStatus;

/** The endpoint list, its subscription, and events that match nothing. */
class EndpointsTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;
    private final PolicyHarness.Config config = new PolicyHarness.Config();

    /** Ids of all upstreams that the policy has a state for. */
    private static Set<String> knownUpstreams(PolicyHarness h) {
        return h.balancer.summary(h.now).upstreams().stream()
                .map(UpstreamStatus::id)
                .collect(Collectors.toSet());
    }

    /** Machines are replaced all day by new ones under new ids; those that are gone must leave nothing behind. */
    @Test
    void removedUpstreamsAreForgotten() {
        PolicyHarness h = PolicyHarness.of(config).list(3);
        for (int i = 0; i < 100; i++) {
            h.balancer.endpointsUpdated(
                    h.now,
                    ListKind.CHANGES,
                    List.of(
                            new Upstream("n" + i, 0, 0, 0, State.READY, 1, 0),
                            new Upstream("n" + (i - 2), 0, 0, 0, State.REMOVED, 1, 0)));
        }
        assertEquals(Set.of("u0", "u1", "u2", "n98", "n99"), knownUpstreams(h));
        h.balancer.endpointsUpdated(h.now, ListKind.COMPLETE, List.of(new Upstream("n99", 0, 0, 0, State.READY, 1, 0)));
        assertEquals(Set.of("n99"), knownUpstreams(h));
        h.serve(0, 20 * MILLI, u -> 0.5);
        assertEquals(Map.of("n99", 1), h.perUpstream);
    }

    @Test
    void lossOfHalfTheFleetUnknownToTheListCostsLittle() {
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
            assertTrue(h.attemptsAt("u" + i) > 80, h.perUpstream.toString());
        }
    }

    @Test
    void itSubscribesOnlyWhereSettingsAskForIt() {
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
    void failedSubscriptionsBackOffWithinThePollLimit() {
        config.ask = true;
        PolicyHarness h = PolicyHarness.of(config);
        long before = h.now;
        int asked = 1;
        List<Long> pauses = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            h.balancer.endpointsUpdated(h.now, ListKind.UNAVAILABLE, List.of());
            before = h.now;
            for (; subscriptions(h) == asked; h.advance(10 * MILLI)) {
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
        assertEquals(asked + 1, subscriptions(h), "soon again after one that went well");
    }

    private static int subscriptions(PolicyHarness h) {
        return (int) h.done.stream().filter(d -> d.endsWith("watch true")).count();
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
        assertEquals(100, one.attemptsAt("u0"));
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
    void invalidSettingsAreRejectedWithTheFieldsName() {
        config.zones = 0;
        IllegalArgumentException e = assertThrows(IllegalArgumentException.class, () -> PolicyHarness.of(config));
        assertTrue(e.getMessage().contains("zones"));
        config.zones = 1;
        config.group = 0;
        e = assertThrows(IllegalArgumentException.class, () -> PolicyHarness.of(config));
        assertTrue(e.getMessage().contains("groupSize"));
    }
}
