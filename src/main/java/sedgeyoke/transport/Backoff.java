package sedgeyoke.transport;

import java.util.SplittableRandom;

/**
 * Exponential backoff with jitter: each delay is between 0.5 and 1.5 times a base, which doubles up to a maximum. The
 * jitter keeps the clients of a restarted server from reconnecting at the same moment.
 */
public final class Backoff {
    private final long minMillis;
    private final long maxMillis;
    private final SplittableRandom random;
    private long baseMillis;

    /** Creates a backoff whose base starts at {@code minMillis}. */
    public Backoff(long minMillis, long maxMillis, SplittableRandom random) {
        this.minMillis = minMillis;
        this.maxMillis = maxMillis;
        this.random = random;
        this.baseMillis = minMillis;
    }

    /** Returns the delay before the next attempt in milliseconds, and doubles the base. */
    public long nextDelayMillis() {
        long delayMillis = baseMillis / 2 + random.nextLong(baseMillis);
        baseMillis = Math.min(maxMillis, 2 * baseMillis);
        return delayMillis;
    }

    /** Resets the base to the minimum. */
    public void reset() {
        baseMillis = minMillis;
    }
}
