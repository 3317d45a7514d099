package sedgeyoke.simulator;

/** Input that does not follow the wire format or the platform's settings; the message names the field. */
public final class InvalidInputException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidInputException(String message) {
        super(message);
    }
}
