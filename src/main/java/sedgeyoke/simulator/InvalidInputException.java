package sedgeyoke.simulator;

/** Thrown if an event or the platform's settings are malformed; the message describes the problem. */
public final class InvalidInputException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidInputException(String message) {
        super(message);
    }
}
