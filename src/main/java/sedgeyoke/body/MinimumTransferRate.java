package sedgeyoke.body;

/**
 * Decides whether an upload is too slow: in each window it must reach the lowest rate, and in all it must not exceed
 * its time. Time in which reading from the client is paused does not count. To be used on the event loop; times are
 * microseconds of the policy's clock.
 */
public final class MinimumTransferRate {
    private static final long NOT_PAUSED = Long.MIN_VALUE;
    private static final double MICROS_PER_SECOND = 1e6;

    private final BodyLimits limits;
    private final long startMicros;
    /** Moved on by the length of each pause. */
    private long windowStartMicros;

    private long windowBytes;
    private long pauseStartMicros = NOT_PAUSED;
    private long totalPauseMicros;

    /** An upload that begins at {@code nowMicros}. */
    public MinimumTransferRate(BodyLimits limits, long nowMicros) {
        this.limits = limits;
        this.startMicros = nowMicros;
        this.windowStartMicros = nowMicros;
    }

    /** Counts bytes that were received. */
    public void recordReceived(long bytes) {
        windowBytes += bytes;
    }

    /** Reading from the client is paused from now on; no effect if it already is. */
    public void pauseReading(long nowMicros) {
        if (!isPaused()) {
            pauseStartMicros = nowMicros;
        }
    }

    /** Reading from the client goes on; no effect unless it is paused. */
    public void resumeReading(long nowMicros) {
        if (isPaused()) {
            long pauseMicros = nowMicros - pauseStartMicros;
            totalPauseMicros += pauseMicros;
            windowStartMicros += pauseMicros;
            pauseStartMicros = NOT_PAUSED;
        }
    }

    /** Whether the upload is too slow; begins the next window once one has ended. To be called at regular intervals. */
    public boolean isTooSlow(long nowMicros) {
        if (isPaused()) {
            return false;
        }
        if (nowMicros - startMicros - totalPauseMicros > limits.maxUploadMicros()) {
            return true;
        }
        long elapsedMicros = nowMicros - windowStartMicros;
        if (elapsedMicros < limits.uploadRateWindowMicros()) {
            return false;
        }
        boolean slow = windowBytes * MICROS_PER_SECOND < (double) limits.minUploadBytesPerSecond() * elapsedMicros;
        windowStartMicros = nowMicros;
        windowBytes = 0;
        return slow;
    }

    private boolean isPaused() {
        return pauseStartMicros != NOT_PAUSED;
    }
}
