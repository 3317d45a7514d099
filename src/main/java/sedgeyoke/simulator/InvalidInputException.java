package sedgeyoke.simulator;

/** A line of input that is not what the wire prescribes; the message says what is wrong with it. */
public final class InvalidInputException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidInputException(String message) {
        super(message);
    }
}
