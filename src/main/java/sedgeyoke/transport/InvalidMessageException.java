package sedgeyoke.transport;

/** A message that can be parsed but has a field that is out of bounds or contradicts others. */
public final class InvalidMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    private final String field;

    /** Creates the exception; {@code field} names the invalid field. */
    public InvalidMessageException(String field) {
        super("invalid " + field);
        this.field = field;
    }

    /** Throws unless a field of a message is valid. */
    public static void require(boolean valid, String field) throws InvalidMessageException {
        if (!valid) {
            throw new InvalidMessageException(field);
        }
    }

    /** Returns the name of the invalid field. */
    public String field() {
        return field;
    }
}
