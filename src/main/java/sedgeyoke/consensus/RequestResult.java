package sedgeyoke.consensus;

/**
 * What became of a request to the keepers.
 *
 * @param kind what of it is sure
 * @param version the version that it made, or the newest one
 * @param detail for people: why not, or by when it holds
 */
public record RequestResult(Kind kind, long version, String detail) {
    /** What is sure. */
    public enum Kind {
        /** It is done and stays done. */
        DONE,
        /** It is not done and will not be: somebody else was first. */
        CONFLICT,
        /** It is not done and will not be: it is not in order, or the time is not right. */
        REFUSED,
        /** It is not done now; an earlier copy that is still on its way may be, so ask again with the same number. */
        BUSY,
        /** It may be done, now or later: ask again with the same number. */
        UNKNOWN,
        /** It is not done: no leader was there to take it. */
        NO_LEADER
    }
}
