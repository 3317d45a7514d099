package sedgeyoke.body;

/**
 * The part of the {@link BodyBudget} that one body holds, in bytes. It must grow before the body takes more memory. Not
 * thread-safe: called on the event loop only.
 */
public final class BodyReservation {
    private final BodyBudget budget;
    private long bytes;

    BodyReservation(BodyBudget budget) {
        this.budget = budget;
    }

    /** The reserved bytes. */
    public long bytes() {
        return bytes;
    }

    /** Grows to {@code wanted} bytes; false, without effect, if the total would be exceeded. */
    public boolean tryGrowTo(long wanted) {
        if (!growToGuaranteed(wanted) && !budget.tryReserve(wanted - bytes)) {
            return false;
        }
        bytes = Math.max(bytes, wanted);
        return true;
    }

    /** Like {@link #tryGrowTo}, but also false if too little would be left for new bodies. */
    public boolean tryGrowToSpare(long wanted) {
        if (!growToGuaranteed(wanted) && !budget.tryReserveSpare(wanted - bytes)) {
            return false;
        }
        bytes = Math.max(bytes, wanted);
        return true;
    }

    /** Grows as far as each body may always grow; true if the reservation has {@code wanted} bytes then. */
    private boolean growToGuaranteed(long wanted) {
        if (wanted <= budget.guaranteedBytes()) {
            growTo(wanted);
        }
        return wanted <= bytes;
    }

    /**
     * Grows to {@code wanted} bytes even beyond the total: for what every body may hold, and for memory that another
     * reservation gives up.
     */
    public void growTo(long wanted) {
        if (wanted > bytes) {
            budget.reserve(wanted - bytes);
            bytes = wanted;
        }
    }

    /** Shrinks to {@code kept} bytes; no effect if it is not larger. */
    public void shrinkTo(long kept) {
        if (kept < bytes) {
            budget.release(bytes - kept);
            bytes = kept;
        }
    }

    /** Releases everything. */
    public void release() {
        shrinkTo(0);
    }
}
