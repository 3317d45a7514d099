package sedgeyoke.consensus;

/**
 * The result of a {@link ClientRequest}.
 *
 * @param kind the outcome, as far as it is certain
 * @param version the version that the request created, or else the newest one
 * @param detail an explanation for operators
 */
public record RequestResult(Kind kind, long version, String detail) {
    /** The outcome of a request. The command line prints these names, and the wire format depends on their order. */
    public enum Kind {
        /** It was carried out. */
        DONE,
        /** It was not carried out and will not be: another version was created first. */
        CONFLICT,
        /** It was not carried out and will not be: it is invalid, or not possible in the current state. */
        REFUSED,
        /** It was not carried out, but an earlier copy in flight still may be: retry with the same request id. */
        BUSY,
        /** It may have been carried out, or may be later: retry with the same request id. */
        UNKNOWN,
        /** It was not carried out: no leader accepted it. */
        NO_LEADER
    }
}
