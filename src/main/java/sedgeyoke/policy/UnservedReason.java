package sedgeyoke.policy;

/** Why a request ended without a response from an upstream. */
enum UnservedReason {
    /** It arrived so late that no attempt could end before its deadline. */
    LATE_ON_ARRIVAL("late on arrival"),
    /** Admission control rejected it, as responses take too much of their latency objectives. */
    NOT_ADMITTED("not admitted"),
    /** It was queued so long that it could only be served late, which is worth nothing for its class. */
    SHED("shed from the queue"),
    /** Its deadline came while it was queued or its attempts were outstanding. */
    OUT_OF_TIME("out of time"),
    /**
     * Its last attempt failed and no other is allowed: its deadline is too near, the retry budget or the number of
     * attempts is used up, it could run twice, or no upstream may take it.
     */
    NO_RETRY_LEFT("no retry left");

    private final String label;

    UnservedReason(String label) {
        this.label = label;
    }

    /** The name of the reason in the log. */
    String label() {
        return label;
    }
}
