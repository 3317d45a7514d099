package sedgeyoke.store;

/** A disk that has said no. Whoever gets one stops using the folder: what is on it now is not known. */
public final class DiskException extends Exception {
    private static final long serialVersionUID = 1L;

    /** What the disk said no to, as far as an operator needs to tell cases apart. */
    public enum Kind {
        /** No room left. */
        FULL,
        /** It may only be read. */
        READ_ONLY,
        /** The folder or the file is not there. */
        GONE,
        /** Another process has it. */
        IN_USE,
        /** Anything else. */
        FAILED
    }

    private final Kind kind;
    private final String file;

    /** {@code file} is the name in its folder, or an empty text where the folder is meant. */
    public DiskException(Kind kind, String file, String why) {
        super((file.isEmpty() ? "" : file + ": ") + why);
        this.kind = kind;
        this.file = file;
    }

    /** What kind of no it was. */
    public Kind kind() {
        return kind;
    }

    /** The file that it was about; empty for the folder. */
    public String file() {
        return file;
    }
}
