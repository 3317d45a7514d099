package sedgeyoke.testing;

import static org.junit.jupiter.api.Assertions.fail;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits of tests for what other threads and processes do. */
public final class Await {
    /** Between two looks at a condition, so that the wait takes no time from what it waits for. */
    private static final long POLL_MILLIS = 2;

    private Await() {}

    /** Waits until a condition holds; fails with {@code what} if it does not within the timeout. */
    public static void until(String what, long timeoutMillis, BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) {
                fail("not within " + timeoutMillis + " ms: " + what);
            }
            Thread.sleep(POLL_MILLIS);
        }
    }
}
