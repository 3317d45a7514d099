package sedgeyoke.policy;

/** Why a request ends without a response of an upstream. */
enum UnservedReason {
    /** It arrived so late that no attempt could end before its deadline. */
    LATE_ON_ARRIVAL,
    /** Admission control did not admit it, as responses take too much of their latency objectives. */
    NOT_ADMITTED,
    /** It waited in the queue until it could only be late, and is worth nothing then. */
    SHED,
    /** Its deadline came while it was queued or its attempts were outstanding. */
    OUT_OF_TIME,
    /**
     * Its last attempt failed, and there is no further one: it would end too late, the retry budget or the
     * number of attempts is used up, it could run twice, or no upstream may take it.
     */
    NO_RETRY_LEFT
}
