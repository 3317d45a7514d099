package sedgeyoke.store;

/** A failed disk operation. After a failed write or fsync the directory must not be used any further. */
public final class DiskException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Causes that operators treat differently. */
    public enum Kind {
        /** No space or quota left. */
        FULL,
        /** The file system or the file is not writable. */
        READ_ONLY,
        /** The directory or the file does not exist. */
        NOT_FOUND,
        /** Another process has locked the directory. */
        IN_USE,
        /** Any other input or output error. */
        IO_ERROR
    }

    private final Kind kind;
    private final String file;

    /**
     * Creates the exception.
     *
     * @param file name of the file in its directory; empty where the directory itself is meant
     * @param reason text for operators
     */
    public DiskException(Kind kind, String file, String reason) {
        super((file.isEmpty() ? "" : file + ": ") + reason);
        this.kind = kind;
        this.file = file;
    }

    /** Returns the cause. */
    public Kind kind() {
        return kind;
    }

    /** Returns the name of the file; empty where the directory itself is meant. */
    public String file() {
        return file;
    }
}
