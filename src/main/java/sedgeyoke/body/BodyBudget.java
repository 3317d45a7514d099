package sedgeyoke.body;

/**
 * Limits the memory of all streamed bodies together, and records the most that one has used. A streamed body counts as
 * its ceiling, in the direction in which it is sent, from its start to its end. To be used on the event loop.
 */
public final class BodyBudget {
    private final BodyLimits limits;
    private long reserved;
    private long rejected;
    private long largest;

    /** A budget of {@link BodyLimits#total}. */
    public BodyBudget(BodyLimits limits) {
        this.limits = limits;
    }

    /** Reserves room for one more streamed request; false if there is none. To be given back with {@link #release}. */
    public boolean reserve() {
        if (reserved + limits.ceiling() > limits.total()) {
            rejected++;
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
        reserved += limits.ceiling();
    }

    /** Gives back the room of so many bodies. */
    public void release(int bodies) {
        reserved -= (long) bodies * limits.ceiling();
    }

    /** Records that so many bytes of one body are buffered in this process. */
    public void recordBuffered(long bytes) {
        largest = Math.max(largest, bytes);
    }

    /** The most bytes that were ever buffered of one body. */
    public long largest() {
        return largest;
    }

    /** Bytes that are reserved. */
    public long reserved() {
        return reserved;
    }

    /** Requests that were rejected for lack of room. */
    public long rejected() {
        return rejected;
    }
}
