package sedgeyoke.standin;

/** What becomes of one answer of discovery. */
public enum AnswerFault {
    /** No byte of it comes, and the connection stays open. */
    SILENT,
    /** Its first bytes come, and the connection stays open. */
    FIRST_BYTES,
    /** Its first half comes, and the connection stays open. */
    HALF,
    /** Its first half comes, and the connection is closed. */
    HALF_AND_CLOSE,
    /** The connection is closed without an answer. */
    CLOSE,
    /** The answer is 503. */
    UNAVAILABLE,
    /** It comes later. */
    LATE,
    /** It comes in pieces. */
    PIECES,
    /** It is the complete list, whatever was asked for. */
    COMPLETE_LIST,
    /** It is a complete list of some revisions ago. */
    OLDER_LIST
}
