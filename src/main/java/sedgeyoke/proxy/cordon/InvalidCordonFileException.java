package sedgeyoke.proxy.cordon;

import java.io.IOException;
import java.nio.file.Path;

/** A file of cordons that cannot be read. */
final class InvalidCordonFileException extends IOException {
    private static final long serialVersionUID = 1L;

    private final transient Path file;
    private final int line;

    /** The file as a whole has not the expected form. */
    InvalidCordonFileException(Path file, String problem) {
        super(file + ": " + problem);
        this.file = file;
        this.line = 0;
    }

    /** One line of it, counted from 1, has not. */
    InvalidCordonFileException(Path file, int line, String problem, Exception cause) {
        super(file + ":" + line + ": " + problem, cause);
        this.file = file;
        this.line = line;
    }

    Path file() {
        return file;
    }

    /** The line, counted from 1; 0 for the file as a whole. */
    int line() {
        return line;
    }
}
