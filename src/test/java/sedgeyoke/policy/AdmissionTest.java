package sedgeyoke.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;

/** Concurrency limits, the queue and load shedding. */
class AdmissionTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;
    private final PolicyHarness.Config config = new PolicyHarness.Config();

    @Test
    void slowResponsesLowerTheLimitAndRequestsAreQueued() {
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
    void longResponsesLowerTheLimitOnlyOfBusyUpstreams() {
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
    void aTimeoutLowersTheLimitWhateverWasReported() {
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
    void withCapacityNothingIsQueued() {
        PolicyHarness h = PolicyHarness.of(config).list(4);
        String id = h.request(0, 2 * SECOND);
        assertNotEquals(null, h.lastUpstream(id));
    }

    @Test
    void queuedRequestsAreSentByPriority() {
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
    void aMarkedRetryIsShedSoonerOnceRejectionsAreUsual() {
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
    void requestsBeyondATenantsAllowanceLosePriority() {
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
    void queuedRequestsPastTheirObjectiveAreRejectedWithoutLateWeight() {
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
}
