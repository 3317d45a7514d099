package sedgeyoke.consensus.storage;

/** A directory that no replica can be started from. The message states the reason and what the operator can do. */
public final class UnusableStorageException extends Exception {
    private static final long serialVersionUID = 1L;

    UnusableStorageException(String message) {
        super(message);
    }
}
