package sedgeyoke.transport;

/** A message that can be parsed but that this program cannot act on. */
public final class InvalidMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** What is wrong with the message. */
    public enum Kind {
        /** A field is out of bounds or contradicts others. */
        INVALID_FIELD,
        /** It is of a type that this release does not know; a newer one may have sent it. */
        UNKNOWN_TYPE
    }

    private final Kind kind;
    private final String field;

    private InvalidMessageException(Kind kind, String field, String message) {
        super(message);
        this.kind = kind;
        this.field = field;
    }

    /** Returns the exception for a field that is out of bounds or contradicts others. */
    public static InvalidMessageException invalidField(String field) {
        return new InvalidMessageException(Kind.INVALID_FIELD, field, "invalid " + field);
    }

    /**
     * Returns the exception for a type that this release does not know.
     *
     * @param field names the field whose type is unknown
     * @param origin how a newer release comes to have made it, for the message
     */
    public static InvalidMessageException unknownType(String field, String origin) {
        return new InvalidMessageException(
                Kind.UNKNOWN_TYPE, field, "invalid " + field + ": a newer release may have " + origin);
    }

    /** Throws unless a field of a message is valid. */
    public static void require(boolean valid, String field) throws InvalidMessageException {
        if (!valid) {
            throw invalidField(field);
        }
    }

    /** Returns what is wrong. */
    public Kind kind() {
        return kind;
    }

    /** Returns the name of the field concerned. */
    public String field() {
        return field;
    }
}
