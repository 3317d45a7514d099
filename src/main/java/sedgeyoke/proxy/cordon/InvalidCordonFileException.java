package sedgeyoke.proxy.cordon;

import java.io.IOException;
import java.nio.file.Path;

/** Thrown when the file of cordons has invalid content. */
final class InvalidCordonFileException extends IOException {
    private static final long serialVersionUID = 1L;

    private final transient Path file;
    private final int line;

    /** The file as a whole is invalid. */
    InvalidCordonFileException(Path file, String problem) {
        super(file + ": " + problem);
        this.file = file;
        this.line = 0;
    }

    /** One line of the file, counted from 1, is invalid. */
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
