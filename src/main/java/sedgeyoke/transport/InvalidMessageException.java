package sedgeyoke.transport;

/** A message that parses and whose content is out of bounds or makes no sense; its sender cannot be believed. */
public final class InvalidMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Names what is wrong with the message. */
    public InvalidMessageException(String what) {
        super("implausible " + what);
    }
}
