package sedgeyoke.body;

/**
 * Decides whether an upload is too slow: in each window it must reach the lowest rate, and in all it must not exceed
 * its time. Time in which nothing is read from the client does not count. Times are microseconds.
 */
public final class MinimumTransferRate {
    private final BodyLimits limits;
    private final long startedAt;
    private long windowStartedAt;
    private long windowBytes;
    private long pausedAt = Long.MIN_VALUE;
    private long pausedMicros;

    /** An upload that begins at {@code now}. */
    public MinimumTransferRate(BodyLimits limits, long now) {
        this.limits = limits;
        this.startedAt = now;
        this.windowStartedAt = now;
    }

    /** Counts bytes that were received. */
    public void came(long bytes) {
        windowBytes += bytes;
    }

    /** Reading from the client was resumed or pausedMicros. */
    public void reading(boolean on, long now) {
        if (!on && pausedAt == Long.MIN_VALUE) {
            pausedAt = now;
        } else if (on && pausedAt != Long.MIN_VALUE) {
            pausedMicros += now - pausedAt;
            windowStartedAt += now - pausedAt;
            pausedAt = Long.MIN_VALUE;
        }
    }

    /** Whether the upload is too slow; to be called at regular intervals. */
    public boolean tooSlow(long now) {
        if (pausedAt != Long.MIN_VALUE) {
            return false;
        }
        if (now - startedAt - pausedMicros > limits.longestUpload()) {
            return true;
        }
        long elapsed = now - windowStartedAt;
        if (elapsed < limits.rateWindow()) {
            return false;
        }
        boolean slow = windowBytes * 1e6 < (double) limits.leastRate() * elapsed;
        windowStartedAt = now;
        windowBytes = 0;
        return slow;
    }
}
