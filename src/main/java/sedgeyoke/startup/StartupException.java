package sedgeyoke.startup;

/** A process cannot start; the message tells the operator why. */
public final class StartupException extends Exception {
    private static final long serialVersionUID = 1L;
    /** Exit code of a process that cannot start. */
    public static final int EXIT_CODE = 2;

    /** Creates an exception with the reason why the process cannot start. */
    public StartupException(String reason) {
        super(reason);
    }

    /** Prints the reason to standard error and returns {@link #EXIT_CODE}. */
    public int report() {
        System.err.println("cannot start: " + getMessage());
        return EXIT_CODE;
    }
}
