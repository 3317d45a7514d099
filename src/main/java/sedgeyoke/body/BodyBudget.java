package sedgeyoke.body;

/**
 * Limits the memory of all streamed bodies together, and records the most that one has used. From its start to its end
 * a streamed body counts as {@link BodyLimits#maxBufferedBytes}, in the direction in which it is sent. To be used on
 * the event loop.
 */
public final class BodyBudget {
    private final BodyLimits limits;
    private long reservedBytes;
    private long rejectedRequests;
    private long peakBytes;

    /** A budget of {@link BodyLimits#maxTotalBufferedBytes}. */
    public BodyBudget(BodyLimits limits) {
        this.limits = limits;
    }

    /** Reserves room for one more streamed request; false if there is none. To be given back with {@link #release}. */
    public boolean reserve() {
        if (reservedBytes + limits.maxBufferedBytes() > limits.maxTotalBufferedBytes()) {
            rejectedRequests++;
            return false;
        }
        reserveUnconditionally();
        return true;
    }

    /**
     * Reserves room for a streamed response, even beyond the total: its request may have run and must not be rejected
     * any more. Further requests are rejected then; the limit on client connections bounds how many responses there
     * are.
     */
    public void reserveUnconditionally() {
        reservedBytes += limits.maxBufferedBytes();
    }

    /** Gives back the room of {@code bodies} bodies. */
    public void release(int bodies) {
        reservedBytes -= (long) bodies * limits.maxBufferedBytes();
    }

    /** Records that so many bytes of one body are buffered in this process. */
    public void recordBuffered(long bytes) {
        peakBytes = Math.max(peakBytes, bytes);
    }

    /** The most bytes that were ever buffered of one body. */
    public long peakBytes() {
        return peakBytes;
    }

    /** Bytes that are reserved. */
    public long reservedBytes() {
        return reservedBytes;
    }

    /** Requests that were rejected for lack of room. */
    public long rejectedRequests() {
        return rejectedRequests;
    }
}
