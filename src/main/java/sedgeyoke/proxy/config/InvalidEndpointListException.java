package sedgeyoke.proxy.config;

/** Thrown for a document that is not an endpoint list in the format of discovery. */
public final class InvalidEndpointListException extends Exception {
    private static final long serialVersionUID = 1L;

    /** The message names what is invalid. */
    public InvalidEndpointListException(String message) {
        super(message);
    }
}
