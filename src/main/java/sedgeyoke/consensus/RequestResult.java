package sedgeyoke.consensus;

/**
 * The result of a {@link ClientRequest}.
 *
 * @param kind what is certain about it
 * @param version the version that it created, or else the newest one
 * @param detail an explanation for people
 */
public record RequestResult(Kind kind, long version, String detail) {
    /** What is certain about a request. The command line prints these names, and the wire format has their order. */
    public enum Kind {
        /** It was carried out. */
        DONE,
        /** It was not carried out and will not be: another version was created first. */
        CONFLICT,
        /** It was not carried out and will not be: it is invalid, or not possible in the present state. */
        REFUSED,
        /** It was not carried out; an earlier copy in flight may be, so retry with the same request id. */
        BUSY,
        /** It may be carried out, now or later: retry with the same request id. */
        UNKNOWN,
        /** It was not carried out: no leader took it. */
        NO_LEADER
    }
}
