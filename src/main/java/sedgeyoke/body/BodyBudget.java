package sedgeyoke.body;

/**
 * Limits the memory that peers can make this process hold: all bodies together, in either direction and whether or not
 * they are streamed, header fields, and what clients have sent behind a request in flight. Records the most that one
 * streamed body has used. Each holder has a {@link BodyReservation}, which grows before it takes more memory. Not
 * thread-safe: called on the event loop only.
 */
public final class BodyBudget {
    /** What each body may hold however much the others do, so that none waits for another. */
    private static final int GUARANTEED_BYTES = 16 << 10;
    /** The part of the total that is left for new bodies when others ask for more than what is guaranteed. */
    private static final double SHARE_FOR_NEW_BODIES = 0.5;

    private final BodyLimits limits;
    private long reservedBytes;
    private long rejectedRequests;
    private long peakBytes;

    /** Creates a budget of {@link BodyLimits#maxTotalBufferedBytes}. */
    public BodyBudget(BodyLimits limits) {
        this.limits = limits;
    }

    /** Creates an empty reservation for one holder. */
    public BodyReservation newReservation() {
        return new BodyReservation(this);
    }

    /**
     * The bytes that each holder may hold even if the total is exceeded. The limit on client connections bounds how
     * many there are; while the total is exceeded, requests that need more are rejected.
     */
    public int guaranteedBytes() {
        return Math.min(GUARANTEED_BYTES, limits.maxBufferedBytes());
    }

    /** The most that one body may hold. */
    public int maxBytesOfOneBody() {
        return limits.maxBufferedBytes();
    }

    /** Adds to the reserved bytes unless they would exceed the total. */
    boolean tryReserve(long bytes) {
        return tryReserve(bytes, limits.maxTotalBufferedBytes());
    }

    /** Adds to the reserved bytes unless too little would be left for new bodies. */
    boolean tryReserveSpare(long bytes) {
        return tryReserve(bytes, (long) ((1 - SHARE_FOR_NEW_BODIES) * limits.maxTotalBufferedBytes()));
    }

    private boolean tryReserve(long bytes, long limit) {
        if (reservedBytes + bytes > limit) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Adds to the reserved bytes whatever the total. */
    void reserve(long bytes) {
        reservedBytes += bytes;
    }

    void release(long bytes) {
        reservedBytes -= bytes;
    }

    /** Counts a request that was rejected because the budget was exhausted. */
    public void recordRejected() {
        rejectedRequests++;
    }

    /** Records how many bytes of one body are buffered in this process. */
    public void recordBuffered(long bytes) {
        peakBytes = Math.max(peakBytes, bytes);
    }

    /** Returns the most bytes of one body that have been buffered at a time. */
    public long peakBytes() {
        return peakBytes;
    }

    /** Returns the number of bytes reserved now. */
    public long reservedBytes() {
        return reservedBytes;
    }

    /** Returns how many requests were rejected because the budget was exhausted. */
    public long rejectedRequests() {
        return rejectedRequests;
    }
}
