package sedgeyoke.standin;

/** How one response of the discovery stand-in is made faulty. */
public enum AnswerFault {
    /** No byte is sent, and the connection stays open. */
    SILENT,
    /** Only the first bytes are sent, and the connection stays open. */
    FIRST_BYTES,
    /** Only the first half is sent, and the connection stays open. */
    HALF,
    /** Only the first half is sent, then the connection is closed. */
    HALF_AND_CLOSE,
    /** The connection is closed without a response. */
    CLOSE,
    /** The response has status 503. */
    UNAVAILABLE,
    /** The complete response is sent late. */
    LATE,
    /** The complete response is sent in several pieces. */
    PIECES,
    /** The response is the complete endpoint list, whichever revision the request names. */
    COMPLETE_LIST,
    /** The response is a complete endpoint list that is some revisions old. */
    OLDER_LIST
}
