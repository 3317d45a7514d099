package sedgeyoke.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import sedgeyoke.policy.LoadBalancingPolicy.State;
import sedgeyoke.policy.LoadBalancingPolicy.UpstreamStatus;

/** Upstreams that operators take out of service by hand, and what they are when they come back. */
class CordonTest {
    private static final int REQUESTS = 300;
    private final PolicyHarness host =
            PolicyHarness.of(new PolicyHarness.Config()).list(3);

    private long sentTo(String upstream) {
        int before = host.perUpstream.getOrDefault(upstream, 0);
        for (int i = 0; i < REQUESTS; i++) {
            host.serve(0, 5 * PolicyHarness.MILLI, id -> 0.4);
        }
        return host.perUpstream.getOrDefault(upstream, 0) - before;
    }

    private UpstreamStatus standing(String upstream) {
        return host.balancer.summary(host.now).upstreams().stream()
                .filter(s -> s.id().equals(upstream))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void whatIsOutGetsNothingUntilItIsGivenBackWhateverTheListSays() {
        assertTrue(sentTo("u1") > 0);
        host.balancer.cordonsUpdated(host.now, Map.of("u1", host.now));
        assertEquals(0, sentTo("u1"));
        assertTrue(standing("u1").ejected(), "operators are told that it is avoided");
        host.change(PolicyHarness.up(1, State.READY, 0));
        host.list(3);
        host.change(PolicyHarness.up(1, State.READY, host.now)); // it has restarted
        assertEquals(0, sentTo("u1"));
        host.change(PolicyHarness.up(1, State.REMOVED, 0));
        host.change(PolicyHarness.up(1, State.READY, host.now));
        assertEquals(0, sentTo("u1"), "also when it was gone from the list between");
        host.balancer.cordonsUpdated(host.now, Map.of());
        assertFalse(standing("u1").ejected());
        host.advance(host.settings().rules().slowStartTime());
        assertTrue(sentTo("u1") > 0);
    }

    @Test
    void itComesBackColdEvenIfTheListHasYetToTellOfItsRestart() {
        assertTrue(sentTo("u1") > 0);
        host.balancer.cordonsUpdated(host.now, Map.of("u1", host.now));
        host.advance(5 * PolicyHarness.SECOND);
        host.balancer.cordonsUpdated(host.now, Map.of());
        assertEquals(host.now, standing("u1").launchedAt());
        assertTrue(standing("u1").slowStartQuota() > 0, "a cold one has a right of so much");
        long told = host.now - 2 * PolicyHarness.SECOND;
        host.change(PolicyHarness.up(1, State.READY, told));
        assertEquals(told, standing("u1").launchedAt(), "what the list tells later is its true start");
    }

    @Test
    void aRestartThatTheListHasToldOfIsItsStart() {
        host.balancer.cordonsUpdated(host.now, Map.of("u1", host.now));
        host.advance(PolicyHarness.SECOND);
        long told = host.now;
        host.change(PolicyHarness.up(1, State.READY, told));
        host.advance(5 * PolicyHarness.SECOND);
        host.balancer.cordonsUpdated(host.now, Map.of());
        assertEquals(told, standing("u1").launchedAt());
    }

    @Test
    void anotherOneIsNotDisturbed() {
        host.balancer.cordonsUpdated(host.now, Map.of("u1", host.now));
        UpstreamStatus before = standing("u2");
        host.balancer.cordonsUpdated(host.now, Map.of("u1", host.now, "nonesuch", host.now));
        host.balancer.cordonsUpdated(host.now, Map.of());
        assertEquals(before, standing("u2"));
        assertEquals(0, standing("u2").launchedAt());
    }

    /** With all out there is nobody to ask: requests wait, and are refused in time. */
    @Test
    void withAllOutRequestsWaitAndTheNextOneGivenBackServesThem() {
        host.balancer.cordonsUpdated(host.now, Map.of("u0", host.now, "u1", host.now, "u2", host.now));
        host.advance(PolicyHarness.SECOND);
        host.change(PolicyHarness.up(2, State.READY, host.now));
        host.advance(host.settings().rules().slowStartTime()); // what it was taken out for is long over
        String waiting = host.request(0, 2 * PolicyHarness.SECOND);
        assertNull(host.lastUpstream(waiting));
        host.balancer.cordonsUpdated(host.now, Map.of("u0", host.now, "u1", host.now));
        assertEquals("u2", host.lastUpstream(waiting));
        host.end(waiting, LoadBalancingPolicy.Outcome.OK, 5 * PolicyHarness.MILLI, null);
        host.balancer.cordonsUpdated(host.now, Map.of("u0", host.now, "u1", host.now, "u2", host.now));
        String late = host.request(0, PolicyHarness.SECOND);
        host.advance(3 * PolicyHarness.SECOND);
        assertNull(host.lastUpstream(late));
        assertEquals(List.of(late), host.refused);
    }
}
