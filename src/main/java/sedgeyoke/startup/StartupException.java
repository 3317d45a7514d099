package sedgeyoke.startup;

/** A reason why a process cannot start, for the operator. */
public final class StartupException extends Exception {
    private static final long serialVersionUID = 1L;
    /** Exit code of a process that cannot start. */
    public static final int EXIT_CODE = 2;

    /** Creates the exception. */
    public StartupException(String reason) {
        super(reason);
    }

    /** Prints the reason to standard error and returns {@link #EXIT_CODE}. */
    public int report() {
        System.err.println("cannot start: " + getMessage());
        return EXIT_CODE;
    }
}
