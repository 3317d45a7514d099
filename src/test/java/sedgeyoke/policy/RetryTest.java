package sedgeyoke.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import sedgeyoke.policy.LoadBalancingPolicy.ListKind;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.policy.LoadBalancingPolicy.State;

/** Deadlines, retries and what idempotency allows. */
class RetryTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;
    private final PolicyHarness.Config config = new PolicyHarness.Config();

    @Test
    void aResponseIsGivenBeforeTheDeadlineWithoutUpstreams() {
        PolicyHarness h = PolicyHarness.of(config);
        h.request(2, 300 * MILLI);
        h.advance(299 * MILLI);
        assertEquals(1, h.refused.size());
    }

    /** Deadlines were looked at on a beat of 10 ms, which is coarser than what a short tick leaves. */
    @Test
    void aResponseIsInTimeWhereverTheDeadlineFallsBetweenSweeps() {
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
    void aRequestWithHardlyAnyTimeLeftIsAnsweredAtOnce() {
        PolicyHarness h = PolicyHarness.of(config);
        h.request(2, 4 * MILLI);
        assertEquals(1, h.refused.size());
    }

    @Test
    void anUnsafeRequestThatMayHaveRunFailsWithoutARetry() {
        PolicyHarness h = PolicyHarness.of(config).list(3);
        String id = h.request(2, 2 * SECOND);
        h.end(id, Outcome.RESET, MILLI, null);
        assertEquals(1, h.sends.get(id).size());
        assertEquals(List.of(id), h.failed);
    }

    @Test
    void anUnsafeRequestThatNeverRanIsRetried() {
        PolicyHarness h = PolicyHarness.of(config).list(3);
        String id = h.request(2, 2 * SECOND);
        h.end(id, Outcome.REJECTED, MILLI, null);
        h.advance(100 * MILLI);
        assertEquals(2, h.sends.get(id).size());
    }

    @Test
    void anIdempotencyKeyAllowsRetriesOnlyInItsZoneAndWindow() {
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
    void nothingIsSentToADrainingUpstream() {
        PolicyHarness h = PolicyHarness.of(config).list(2);
        h.change(PolicyHarness.up(0, State.DRAINING, 0));
        for (int i = 0; i < 50; i++) {
            h.serve(0, 5 * MILLI, u -> 0.5);
        }
        assertEquals(0, h.attemptsAt("u0"));
        h.balancer.endpointsUpdated(h.now, ListKind.COMPLETE, List.of(PolicyHarness.up(2, State.READY, 0)));
        h.perUpstream.clear();
        h.serve(0, 5 * MILLI, u -> 0.5);
        assertEquals(Set.of("u2"), h.perUpstream.keySet());
    }

    @Test
    void aStartedStreamIsNeitherRetriedNorCancelled() {
        config.stream = true;
        PolicyHarness h = PolicyHarness.of(config).list(1);
        String id = h.request(0, 500 * MILLI);
        h.balancer.responseStarted(h.now, id, 0);
        h.advance(5 * SECOND);
        assertEquals(List.of(), h.failed);
        assertEquals(List.of(), h.refused);
        assertEquals(List.of(), h.cancelled);
    }
}
