package sedgeyoke.consensus.storage;

/**
 * Thrown if no replica can be started from a directory. The message states the reason and what the operator can do.
 */
public final class UnusableStorageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Why a directory is unusable. */
    public enum Reason {
        /** It is to be initialized but already contains files. */
        NOT_EMPTY,
        /** It has no hard state: it is not a config server's directory, or the disk has lost that file. */
        NO_HARD_STATE,
        /** No copy of the hard state is valid; the replica has to be replaced. */
        CORRUPT_HARD_STATE,
        /** A file or record has a valid checksum, but a content that this program does not write. */
        UNKNOWN_FORMAT,
        /** It belongs to another tier. */
        OTHER_TIER,
        /** It belongs to another config server of the tier. */
        OTHER_SERVER
    }

    private final Reason reason;

    /** Creates the exception; {@code message} is for operators. */
    UnusableStorageException(Reason reason, String message) {
        super(message);
        this.reason = reason;
    }

    /** Returns why the directory is unusable. */
    public Reason reason() {
        return reason;
    }
}
