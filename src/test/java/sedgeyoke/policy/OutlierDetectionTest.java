package sedgeyoke.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.policy.LoadBalancingPolicy.State;

/** Ejections and the panic threshold. */
class OutlierDetectionTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;
    private final PolicyHarness.Config config = new PolicyHarness.Config();

    @Test
    void rareErrorsAndSlowResponsesEjectNoUpstream() {
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
        assertTrue(h.attemptsAt("u0") > 40, h.perUpstream.toString());
        assertEquals(List.of(), h.cancelled);
    }

    @Test
    void fastErrorsEjectAnUpstreamThatLooksIdle() {
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
        assertTrue(h.attemptsAt("u0") < 40, h.perUpstream.toString());
    }

    @Test
    void aHangingUpstreamIsEjected() {
        PolicyHarness h = PolicyHarness.of(config).list(4);
        for (int i = 0; i < 200; i++) {
            String id = h.request(0, 2 * SECOND);
            h.advance(20 * MILLI);
            if (!h.lastUpstream(id).equals("u0")) {
                h.end(id, Outcome.OK, 20 * MILLI, PolicyHarness.report(0.5));
            }
        }
        assertTrue(h.attemptsAt("u0") > 0 && h.attemptsAt("u0") < 12, h.perUpstream.toString());
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
    void failedConnectionsEjectOnlyAnUpstreamThatNoLongerResponds() {
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
            assertEquals(dead, h.attemptsAt("u0") == 0, dead + h.perUpstream.toString());
        }
    }
}
