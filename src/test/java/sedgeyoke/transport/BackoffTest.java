package sedgeyoke.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class BackoffTest {
    private static final long MIN_MILLIS = 100;
    private static final long MAX_MILLIS = 1_000;

    private final Backoff backoff = new Backoff(MIN_MILLIS, MAX_MILLIS, new SplittableRandom(1));

    private static void assertAround(long baseMillis, long delayMillis) {
        assertTrue(
                delayMillis >= baseMillis / 2 && delayMillis < baseMillis / 2 + baseMillis,
                delayMillis + " ms for a base of " + baseMillis);
    }

    @Test
    void delaysDoubleUpToTheMaximum() {
        for (long baseMillis : new long[] {100, 200, 400, 800, 1_000, 1_000}) {
            assertAround(baseMillis, backoff.nextDelayMillis());
        }
    }

    @Test
    void aResetReturnsToTheShortestDelay() {
        for (int attempt = 0; attempt < 5; attempt++) {
            backoff.nextDelayMillis();
        }
        backoff.reset();
        assertAround(MIN_MILLIS, backoff.nextDelayMillis());
    }

    @Test
    void delaysDifferBetweenClients() {
        Backoff other = new Backoff(MIN_MILLIS, MAX_MILLIS, new SplittableRandom(2));
        long different = 0;
        for (int attempt = 0; attempt < 20; attempt++) {
            different += backoff.nextDelayMillis() != other.nextDelayMillis() ? 1 : 0;
        }
        assertTrue(different > 15, "different delays: " + different);
    }

    @Test
    void equalSeedsGiveEqualDelays() {
        Backoff other = new Backoff(MIN_MILLIS, MAX_MILLIS, new SplittableRandom(1));
        assertEquals(backoff.nextDelayMillis(), other.nextDelayMillis());
    }
}
