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
        PolicyHarness host = PolicyHarness.of(config).list(3);
        for (int i = 0; i < 300; i++) {
            String id = host.request(0, 2 * SECOND);
            boolean slow = host.lastUpstream(id).equals("u0");
            host.advance(slow ? 60 * MILLI : 20 * MILLI);
            if (slow && i % 20 == 0) {
                host.end(id, Outcome.ERROR, 60 * MILLI, PolicyHarness.report(0.5));
            }
            host.end(id, Outcome.OK, 20 * MILLI, PolicyHarness.report(0.5));
        }
        assertTrue(host.attemptsAt("u0") > 40, host.perUpstream.toString());
        assertEquals(List.of(), host.cancelled);
    }

    @Test
    void fastErrorsEjectAnUpstreamThatLooksIdle() {
        PolicyHarness host = PolicyHarness.of(config).list(4);
        for (int i = 0; i < 300; i++) {
            String id = host.request(0, 2 * SECOND);
            host.advance(5 * MILLI);
            while (host.lastUpstream(id).equals("u0") && host.sends.get(id).size() < 4) {
                host.end(id, Outcome.ERROR, 5 * MILLI, PolicyHarness.report(0.01));
            }
            if (!host.lastUpstream(id).equals("u0")) {
                host.end(id, Outcome.OK, 5 * MILLI, PolicyHarness.report(0.5));
            }
        }
        assertTrue(host.attemptsAt("u0") < 40, host.perUpstream.toString());
    }

    @Test
    void aHangingUpstreamIsEjected() {
        PolicyHarness host = PolicyHarness.of(config).list(4);
        for (int i = 0; i < 200; i++) {
            String id = host.request(0, 2 * SECOND);
            host.advance(20 * MILLI);
            if (!host.lastUpstream(id).equals("u0")) {
                host.end(id, Outcome.OK, 20 * MILLI, PolicyHarness.report(0.5));
            }
        }
        assertTrue(host.attemptsAt("u0") > 0 && host.attemptsAt("u0") < 12, host.perUpstream.toString());
    }

    @Test
    void panicThresholdIgnoresEjectionsWhenNearlyAllAreEjected() {
        PolicyHarness host = PolicyHarness.of(config).list(3);
        for (int i = 0; i < 60; i++) {
            String id = host.request(0, 2 * SECOND);
            host.advance(5 * MILLI);
            for (int k = 0;
                    k < 4 && host.lastUpstream(id) != null && host.sends.get(id).size() > k;
                    k++) {
                host.end(id, Outcome.CONNECT_FAILED, 5 * MILLI, null);
            }
        }
        host.advance(100 * MILLI);
        host.perUpstream.clear();
        host.request(2, 2 * SECOND);
        host.advance(500 * MILLI);
        assertFalse(host.perUpstream.isEmpty());
    }

    @Test
    void failedConnectionsEjectOnlyAnUpstreamThatNoLongerResponds() {
        for (boolean dead : new boolean[] {true, false}) {
            PolicyHarness host = PolicyHarness.of(config).list(1);
            String first = host.request(0, 2 * SECOND);
            String second = host.request(2, 2 * SECOND);
            host.advance(5 * MILLI);
            if (!dead) {
                host.end(first, Outcome.OK, 5 * MILLI, null);
            }
            host.end(second, Outcome.CONNECT_FAILED, 5 * MILLI, null);
            if (!dead) {
                host.end(second, Outcome.OK, 5 * MILLI, null);
            }
            host.change(PolicyHarness.upstream(1, State.READY, 0));
            host.advance(100 * MILLI);
            host.perUpstream.clear();
            for (int i = 0; i < 40; i++) {
                host.serve(0, 5 * MILLI, u -> 0.5);
            }
            assertEquals(dead, host.attemptsAt("u0") == 0, dead + host.perUpstream.toString());
        }
    }
}
