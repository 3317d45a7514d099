package sedgeyoke.body;

/**
 * What all long bodies together may hold, and what one ever held. A long body is counted with its ceiling, in the
 * direction in which it goes, from its start to its end.
 */
public final class BodyBudget {
    private final BodyLimits limits;
    private long reserved;
    private long refused;
    private long largest;

    /** A budget of {@link BodyLimits#total}. */
    public BodyBudget(BodyLimits limits) {
        this.limits = limits;
    }

    /** Whether one more long request may begin; it must be given back with {@link #release}. */
    public boolean reserve() {
        if (reserved + limits.ceiling() > limits.total()) {
            refused++;
            return false;
        }
        begun();
        return true;
    }

    /**
     * An answer has turned out to be long. Its request may have run and is not to be refused any more, so it counts
     * even where the total is full: then it is further requests that wait. Clients' connections bound how many.
     */
    public void begun() {
        reserved += limits.ceiling();
    }

    /** So many have ended. */
    public void release(int bodies) {
        reserved -= (long) bodies * limits.ceiling();
    }

    /** So many bytes of one body are held in this process now. */
    public void holds(long bytes) {
        largest = Math.max(largest, bytes);
    }

    /** The most that one body ever held here, in bytes. */
    public long largest() {
        return largest;
    }

    /** Bytes that are reserved now. */
    public long reserved() {
        return reserved;
    }

    /** Requests that found no room. */
    public long refused() {
        return refused;
    }
}
