package sedgeyoke.body;

/**
 * Decides whether an upload is too slow: it must reach the minimum rate in each window and must not exceed the maximum
 * duration. Time in which reading from the client is paused does not count. Not thread-safe: called on the event loop
 * only. Times are in microseconds of the policy's clock.
 */
public final class MinimumTransferRate {
    private static final long NOT_PAUSED = Long.MIN_VALUE;
    private static final double MICROS_PER_SECOND = 1e6;

    private final BodyLimits limits;
    private final long startMicros;
    /** Start of the current window, moved forward by the length of each pause in it. */
    private long windowStartMicros;

    private long windowBytes;
    private long pauseStartMicros = NOT_PAUSED;
    private long totalPauseMicros;

    /** Starts measuring an upload that begins at {@code nowMicros}. */
    public MinimumTransferRate(BodyLimits limits, long nowMicros) {
        this.limits = limits;
        this.startMicros = nowMicros;
        this.windowStartMicros = nowMicros;
    }

    /** Adds received bytes to the current window. */
    public void recordReceived(long bytes) {
        windowBytes += bytes;
    }

    /** Stops the clock of the upload while reading from the client is paused; no effect if it is already stopped. */
    public void pauseReading(long nowMicros) {
        if (!isPaused()) {
            pauseStartMicros = nowMicros;
        }
    }

    /** Restarts the clock of the upload when reading from the client resumes; no effect unless it is stopped. */
    public void resumeReading(long nowMicros) {
        if (isPaused()) {
            long pauseMicros = nowMicros - pauseStartMicros;
            totalPauseMicros += pauseMicros;
            windowStartMicros += pauseMicros;
            pauseStartMicros = NOT_PAUSED;
        }
    }

    /** Returns whether the upload is too slow. Call it at regular intervals: it also starts the next window. */
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
