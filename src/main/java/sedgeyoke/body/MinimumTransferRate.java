package sedgeyoke.body;

/**
 * Whether an upload is fast enough: over each window it must bring its least rate, and in all it must not take longer
 * than it may. Time in which we ourselves read nothing is not held against it. Times are microseconds.
 */
public final class MinimumTransferRate {
    private final BodyLimits limits;
    private final long startedAt;
    private long windowAt;
    private long windowBytes;
    private long pausedAt = Long.MIN_VALUE;
    private long paused;

    /** An upload that begins now. */
    public MinimumTransferRate(BodyLimits limits, long now) {
        this.limits = limits;
        this.startedAt = now;
        this.windowAt = now;
    }

    /** So many bytes have come. */
    public void came(long bytes) {
        windowBytes += bytes;
    }

    /** Whether we read from it; while we don't, nothing can come. */
    public void reading(boolean on, long now) {
        if (!on && pausedAt == Long.MIN_VALUE) {
            pausedAt = now;
        } else if (on && pausedAt != Long.MIN_VALUE) {
            paused += now - pausedAt;
            windowAt += now - pausedAt;
            pausedAt = Long.MIN_VALUE;
        }
    }

    /** Whether it is too slow; to be asked now and then. */
    public boolean tooSlow(long now) {
        if (pausedAt != Long.MIN_VALUE) {
            return false;
        }
        if (now - startedAt - paused > limits.longestUpload()) {
            return true;
        }
        long took = now - windowAt;
        if (took < limits.rateWindow()) {
            return false;
        }
        boolean slow = windowBytes * 1e6 < (double) limits.leastRate() * took;
        windowAt = now;
        windowBytes = 0;
        return slow;
    }
}
