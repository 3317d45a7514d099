package sedgeyoke.body;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sedgeyoke.policy.LoadBalancingPolicy.Effect;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.policy.LoadBalancingPolicy.Scope;

/** The table of docs/design/bodies.md, every cell of it, and the limits. */
class BodyRulesTest {
    private static final BodyLimits LIMITS =
            new BodyLimits(true, 65_536, 300_000, 1_000, 1_000_000, 60_000_000, 2_000_000, 1 << 30, 0);
    private static final Set<Outcome> PROVES_IT_NEVER_RAN =
            Set.of(Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT);

    @Test
    void everyCombinationOfBodyAndOutcome() {
        List<String> cells = new ArrayList<>();
        for (Effect effect : Effect.values()) {
            for (Scope scope : Scope.values()) {
                for (PartialRequestPolicy.Body body : PartialRequestPolicy.Body.values()) {
                    for (Outcome outcome : Outcome.values()) {
                        PartialRequestPolicy.Next next = PartialRequestPolicy.after(effect, scope, body, outcome);
                        assertEquals(
                                expected(effect, scope, body, outcome),
                                next,
                                effect + " " + scope + " " + body + " " + outcome);
                        cells.add(next.toString());
                    }
                }
            }
        }
        assertEquals(3 * 3 * 4 * 8, cells.size());
        assertEquals(4, Set.copyOf(cells).size(), "each of the four occurs");
    }

    private static PartialRequestPolicy.Next expected(
            Effect effect, Scope scope, PartialRequestPolicy.Body body, Outcome outcome) {
        boolean gone =
                body == PartialRequestPolicy.Body.PARTLY_FORWARDED || body == PartialRequestPolicy.Body.FULLY_FORWARDED;
        if (outcome == Outcome.OK) {
            return PartialRequestPolicy.Next.SERVED;
        } else if (!gone) {
            return PartialRequestPolicy.Next.POLICY;
        } else if (body == PartialRequestPolicy.Body.PARTLY_FORWARDED || PROVES_IT_NEVER_RAN.contains(outcome)) {
            return PartialRequestPolicy.Next.REJECT;
        }
        return effect == Effect.SAFE || (effect == Effect.IDEMPOTENT_WITH_KEY && scope == Scope.ALL)
                ? PartialRequestPolicy.Next.REJECT
                : PartialRequestPolicy.Next.FAIL;
    }

    @Test
    void theBudgetReservesAndReleases() {
        BodyBudget budget = new BodyBudget(LIMITS);
        for (int i = 0; i < 4; i++) {
            assertTrue(budget.reserve());
        }
        assertFalse(budget.reserve());
        assertEquals(1, budget.rejected());
        assertEquals(262_144, budget.reserved());
        budget.reserveUnconditionally(); // an answer that turned out to be long counts, room or not
        budget.release(1);
        assertFalse(budget.reserve());
        budget.release(1);
        assertTrue(budget.reserve());
        budget.recordBuffered(7);
        budget.recordBuffered(3);
        assertEquals(7, budget.largest());
    }

    @ParameterizedTest
    @CsvSource({"1000, 1000000, false", "999, 1000000, true", "0, 999999, false", "0, 1000000, true"})
    void anUploadMustReachItsRateInEachWindow(long bytes, long after, boolean slow) {
        MinimumTransferRate pace = new MinimumTransferRate(LIMITS, 5_000_000);
        pace.came(bytes);
        assertEquals(slow, pace.tooSlow(5_000_000 + after));
    }

    @Test
    void pausedTimeDoesNotCount() {
        MinimumTransferRate pace = new MinimumTransferRate(LIMITS, 0);
        pace.came(500);
        pace.reading(false, 500_000);
        assertFalse(pace.tooSlow(50_000_000));
        pace.reading(true, 50_000_000);
        assertFalse(pace.tooSlow(50_400_000));
        assertTrue(pace.tooSlow(50_500_000));
    }

    @Test
    void uploadsHaveATimeLimit() {
        MinimumTransferRate pace = new MinimumTransferRate(LIMITS, 0);
        for (long now = 0; now <= 60_000_000; now += 1_000_000) {
            assertFalse(pace.tooSlow(now), "at " + now);
            pace.came(5_000);
        }
        assertTrue(pace.tooSlow(60_000_001));
    }

    @Test
    void oneMoreReadFitsBelowTheCeiling() {
        assertEquals(LIMITS.ceiling(), LIMITS.gathered() + LIMITS.read());
        assertEquals(32_768, LIMITS.gathered());
        assertEquals(65_536, BodyLimits.PLATFORM.gathered());
    }
}
