package sedgeyoke.proxy.config;

/** A document that is not an endpoint list in discovery's form. */
public final class InvalidEndpointListException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Names what is invalid. */
    public InvalidEndpointListException(String message) {
        super(message);
    }
}
