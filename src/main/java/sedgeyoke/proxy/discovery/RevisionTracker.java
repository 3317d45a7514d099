package sedgeyoke.proxy.discovery;

import sedgeyoke.proxy.config.EndpointList;

/**
 * The revision of the endpoint list in force, and the decision whether an answer of discovery may replace that list.
 * Event loop only.
 *
 * <p>An older revision comes from a replica of discovery that is late, or from a discovery that has lost its state. The
 * first would make draining upstreams ready again, so an older revision is accepted only if a second answer in a row
 * has one too, and only as a complete list: changes relative to an older list would leave ours wrong for good.
 */
final class RevisionTracker {
    /** Answers in a row that have to have an older revision before discovery counts as having lost its state. */
    private static final int ANSWERS_THAT_CONFIRM_OLDER_REVISION = 2;

    private static final long NO_REVISION = Long.MIN_VALUE;

    private long revision;
    private boolean completeListNeeded;
    /** Answers in a row that had an older revision than the list in force. */
    private int olderAnswers;

    /** Starts from a list with this revision; {@code completeListNeeded} if changes relative to it do not suffice. */
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

    /** The next call fetches the complete list. */
    void requireCompleteList() {
        completeListNeeded = true;
    }

    /** Any complete list is accepted next, whatever its revision. */
    void reset() {
        completeListNeeded = true;
        revision = NO_REVISION;
    }

    /**
     * Whether the answer to the latest call may be taken over; to be called once for each, as it counts older answers.
     * If the answer has an older revision that is not yet confirmed, this returns false, and the next call has to fetch
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

    /** Whether the answer to a call that was retried meanwhile may still be taken over. */
    boolean acceptsOverdue(EndpointList list) {
        return list.revision() >= revision && (list.complete() || !completeListNeeded);
    }

    /** Whether the list differs from the one in force; a complete list that was needed counts as different. */
    boolean isChangedBy(EndpointList list) {
        return completeListNeeded || list.revision() != revision;
    }

    /** The list is now the one in force. */
    void advanceTo(EndpointList list) {
        revision = list.revision();
        completeListNeeded = false;
        olderAnswers = 0;
    }
}
