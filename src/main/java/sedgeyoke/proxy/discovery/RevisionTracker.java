package sedgeyoke.proxy.discovery;

import sedgeyoke.proxy.config.EndpointList;

/**
 * Tracks the revision of the endpoint list in force, and decides whether an answer of discovery may replace that list.
 * Event loop only.
 *
 * <p>An older revision comes either from a discovery replica that lags behind or from a discovery service that has lost
 * its state. Accepting the former would make draining upstreams ready again. So an older revision is accepted only if a
 * second consecutive answer has one too, and only as a complete list: changes relative to an older list would leave our
 * list wrong for good.
 */
final class RevisionTracker {
    /** Consecutive answers with an older revision after which discovery counts as having lost its state. */
    private static final int ANSWERS_THAT_CONFIRM_OLDER_REVISION = 2;

    private static final long NO_REVISION = Long.MIN_VALUE;

    private long revision;
    private boolean completeListNeeded;
    /** Consecutive answers that had an older revision than the list in force. */
    private int olderAnswers;

    /** Starts from a list with this revision; {@code completeListNeeded} if changes relative to it are not enough. */
    RevisionTracker(long revision, boolean completeListNeeded) {
        this.revision = revision;
        this.completeListNeeded = completeListNeeded;
    }

    /** The revision that the next watch continues from. */
    long revision() {
        return revision;
    }

    /** Whether the next call has to fetch the complete list. */
    boolean completeListNeeded() {
        return completeListNeeded;
    }

    /** Makes the next call fetch the complete list. */
    void requireCompleteList() {
        completeListNeeded = true;
    }

    /** Accepts any complete list next, whatever its revision. */
    void reset() {
        completeListNeeded = true;
        revision = NO_REVISION;
    }

    /**
     * Whether the answer to the latest call may replace the list in force. Call exactly once for each answer, as older
     * ones are counted. If an older revision is not yet confirmed, this returns false and the next call has to fetch
     * the complete list.
     */
    boolean accepts(EndpointList list) {
        if (list.revision() >= revision) {
            return true;
        }
        olderAnswers++;
        if (list.complete() && olderAnswers >= ANSWERS_THAT_CONFIRM_OLDER_REVISION) {
            return true;
        }
        completeListNeeded = true;
        return false;
    }

    /** Whether the answer to a call that has been retried may still replace the list in force. */
    boolean acceptsOverdue(EndpointList list) {
        return list.revision() >= revision && (list.complete() || !completeListNeeded);
    }

    /** Whether the list differs from the one in force; a complete list that was needed counts as different. */
    boolean isChangedBy(EndpointList list) {
        return completeListNeeded || list.revision() != revision;
    }

    /** Records that the list is now in force. */
    void advanceTo(EndpointList list) {
        revision = list.revision();
        completeListNeeded = false;
        olderAnswers = 0;
    }
}
