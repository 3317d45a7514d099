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

/** Checks every cell of the table in docs/design/bodies.md, the memory budget and the limits on uploads. */
class BodyRulesTest {
    private static final BodyLimits LIMITS =
            new BodyLimits(true, 65_536, 300_000, 1_000, 1_000_000, 60_000_000, 2_000_000, 1 << 30, 0, 0, 2_000_000);
    private static final Set<Outcome> NEVER_RAN_OUTCOMES =
            Set.of(Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT);

    @Test
    void nextStepMatchesTheTableForEveryCombination() {
        List<String> cells = new ArrayList<>();
        for (Effect effect : Effect.values()) {
            for (Scope scope : Scope.values()) {
                for (PartialRequestPolicy.BodyProgress body : PartialRequestPolicy.BodyProgress.values()) {
                    for (Outcome outcome : Outcome.values()) {
                        PartialRequestPolicy.NextStep next =
                                PartialRequestPolicy.afterAttempt(effect, scope, body, outcome);
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
        assertEquals(4, Set.copyOf(cells).size(), "each of the four next steps occurs");
    }

    private static PartialRequestPolicy.NextStep expected(
            Effect effect, Scope scope, PartialRequestPolicy.BodyProgress body, Outcome outcome) {
        boolean removedFromBuffer = body == PartialRequestPolicy.BodyProgress.PARTLY_FORWARDED
                || body == PartialRequestPolicy.BodyProgress.FULLY_FORWARDED;
        if (outcome == Outcome.OK) {
            return PartialRequestPolicy.NextStep.SERVED;
        } else if (!removedFromBuffer) {
            return PartialRequestPolicy.NextStep.POLICY_DECIDES;
        } else if (body == PartialRequestPolicy.BodyProgress.PARTLY_FORWARDED || NEVER_RAN_OUTCOMES.contains(outcome)) {
            return PartialRequestPolicy.NextStep.REJECT;
        }
        return effect == Effect.SAFE || (effect == Effect.IDEMPOTENT_WITH_KEY && scope == Scope.ALL)
                ? PartialRequestPolicy.NextStep.REJECT
                : PartialRequestPolicy.NextStep.FAIL;
    }

    @Test
    void requestsBeyondTheBudgetAreRejectedUntilMemoryIsReleased() {
        BodyBudget budget = new BodyBudget(LIMITS);
        List<BodyReservation> bodies = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            bodies.add(budget.newReservation());
            assertTrue(bodies.get(i).tryGrowTo(budget.maxBytesOfOneBody()));
        }
        BodyReservation fifth = budget.newReservation();
        assertFalse(fifth.tryGrowTo(budget.maxBytesOfOneBody()));
        budget.recordRejected();
        assertEquals(1, budget.rejectedRequests());
        assertEquals(262_144, budget.reservedBytes());
        budget.newReservation().growTo(65_536); // a response that was already received exceeds the budget
        bodies.get(0).release();
        assertFalse(fifth.tryGrowTo(budget.maxBytesOfOneBody()));
        bodies.get(1).release();
        assertTrue(fifth.tryGrowTo(budget.maxBytesOfOneBody()));
        budget.recordBuffered(7);
        budget.recordBuffered(3);
        assertEquals(7, budget.peakBytes());
    }

    /** Guards against responses that wait for each other's memory, and against some that take the room of all. */
    @Test
    void everyBodyHasItsGuaranteedBytesAndHalfOfTheTotalIsLeftForNewBodies() {
        BodyBudget budget = new BodyBudget(LIMITS);
        List<BodyReservation> bodies = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            bodies.add(budget.newReservation());
            assertTrue(bodies.get(i).tryGrowToSpare(budget.guaranteedBytes()));
        }
        assertEquals(30 * 16_384, budget.reservedBytes());
        bodies.subList(3, 30).forEach(BodyReservation::release);
        assertTrue(bodies.get(0).tryGrowToSpare(110_000));
        assertFalse(bodies.get(1).tryGrowToSpare(30_000), "150,000 bytes are left for new bodies");
        assertTrue(bodies.get(1).tryGrowTo(30_000));
        assertEquals(30_000, bodies.get(1).bytes());
        bodies.get(0).shrinkTo(16_384);
        assertTrue(bodies.get(2).tryGrowToSpare(30_000));
        bodies.forEach(BodyReservation::release);
        assertEquals(0, budget.reservedBytes());
    }

    @ParameterizedTest
    @CsvSource({"1000, 1000000, false", "999, 1000000, true", "0, 999999, false", "0, 1000000, true"})
    void anUploadBelowTheMinimumRateInAWindowIsTooSlow(long bytes, long elapsedMicros, boolean slow) {
        MinimumTransferRate uploadRate = new MinimumTransferRate(LIMITS, 5_000_000);
        uploadRate.recordReceived(bytes);
        assertEquals(slow, uploadRate.isTooSlow(5_000_000 + elapsedMicros));
    }

    @Test
    void timeInWhichReadingIsPausedDoesNotCount() {
        MinimumTransferRate uploadRate = new MinimumTransferRate(LIMITS, 0);
        uploadRate.recordReceived(500);
        uploadRate.pauseReading(500_000);
        assertFalse(uploadRate.isTooSlow(50_000_000));
        uploadRate.resumeReading(50_000_000);
        assertFalse(uploadRate.isTooSlow(50_400_000));
        assertTrue(uploadRate.isTooSlow(50_500_000));
    }

    @Test
    void anUploadOverTheMaximumDurationIsTooSlow() {
        MinimumTransferRate uploadRate = new MinimumTransferRate(LIMITS, 0);
        for (long now = 0; now <= 60_000_000; now += 1_000_000) {
            assertFalse(uploadRate.isTooSlow(now), "at " + now);
            uploadRate.recordReceived(5_000);
        }
        assertTrue(uploadRate.isTooSlow(60_000_001));
    }

    @Test
    void theBufferHasRoomForOneMoreReadAfterAnUnstreamedBody() {
        assertEquals(LIMITS.maxBufferedBytes(), LIMITS.maxUnstreamedBytes() + LIMITS.maxReadBytes());
        assertEquals(32_768, LIMITS.maxUnstreamedBytes());
        assertEquals(65_536, BodyLimits.PLATFORM.maxUnstreamedBytes());
    }
}
