package sedgeyoke.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sedgeyoke.policy.PolicyFixtures.NOW;

import org.junit.jupiter.api.Test;

/** What counts as the load of an upstream. */
class InFlightLoadTest {
    private static final double EXACT = 1e-9;
    private final UpstreamState upstream = new PolicyFixtures().upstream(0);
    private final InFlightLoad load = upstream.inFlight;

    @Test
    void loadIsHalfByCountAndHalfByWork() {
        begin(30);
        begin(10);
        assertEquals((2 + 4) / 2.0, load.inMeanRequests(10), EXACT);
    }

    @Test
    void anEndedAttemptLeavesNothingButItsCount() {
        AttemptState attempt = begin(30);
        load.end(attempt, 30);
        assertEquals(0, load.attempts());
        assertEquals(0, load.work(), EXACT);
        assertEquals(1, load.attemptsSent());
    }

    @Test
    void aTransferIsATenthOfARequestAndNoWork() {
        AttemptState attempt = begin(30);
        load.becomeTransfer(attempt, 30);
        assertEquals(0, load.attempts());
        assertEquals(0, load.work(), EXACT);
        assertEquals(0.1, load.inMeanRequests(10), EXACT);
        load.end(attempt, 30);
        assertEquals(0, load.inMeanRequests(10), EXACT);
    }

    @Test
    void anAttemptWhoseResponseIsStreamedOwesNoResponse() {
        AttemptState attempt = begin(1);
        assertTrue(load.awaitsResponse());
        load.beginStream(attempt);
        assertFalse(load.awaitsResponse());
        load.end(attempt, 1);
        assertFalse(load.awaitsResponse());
        begin(1);
        assertTrue(load.awaitsResponse());
    }

    private AttemptState begin(double cost) {
        AttemptState attempt = new AttemptState(upstream, NOW);
        load.begin(attempt, cost);
        return attempt;
    }
}
