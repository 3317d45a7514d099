package sedgeyoke.transport;

/** Thrown if a message can be parsed but has a content that this program cannot handle. */
public final class InvalidMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** What is wrong with the message. */
    public enum Kind {
        /** A field is out of bounds or contradicts others. */
        INVALID_FIELD,
        /** Its type is unknown to this release; a newer release may have sent it. */
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
     * Returns the exception for a message of a type that is unknown to this release.
     *
     * @param field names the field whose type is unknown
     * @param origin what a newer release may have done, for the exception's text, such as "sent it"
     */
    public static InvalidMessageException unknownType(String field, String origin) {
        return new InvalidMessageException(
                Kind.UNKNOWN_TYPE, field, "invalid " + field + ": a newer release may have " + origin);
    }

    /** Throws an exception with the field's name unless the field is valid. */
    public static void require(boolean valid, String field) throws InvalidMessageException {
        if (!valid) {
            throw invalidField(field);
        }
    }

    /** Returns what is wrong with the message. */
    public Kind kind() {
        return kind;
    }

    /** Returns the name of the invalid field. */
    public String field() {
        return field;
    }
}
