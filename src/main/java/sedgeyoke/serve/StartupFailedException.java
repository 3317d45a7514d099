package sedgeyoke.serve;

/** The balancer cannot start; the message tells the operator why. */
final class StartupFailedException extends Exception {
    private static final long serialVersionUID = 1L;

    StartupFailedException(String reason) {
        super(reason);
    }

    StartupFailedException(String reason, Throwable cause) {
        super(reason, cause);
    }
}
