package sedgeyoke.store;

/** Thrown if a disk operation fails. After a failed write or fsync the directory must not be used any further. */
public final class DiskException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Causes that operators handle differently. */
    public enum Kind {
        /** No space is left, or the quota is used up. */
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
     * @param file name of the file in its directory; empty if the directory itself is affected
     * @param reason description for operators
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

    /** Returns the name of the file; empty if the directory itself is affected. */
    public String file() {
        return file;
    }
}
