package sedgeyoke.serve;

import java.nio.file.Path;

/**
 * The operator's file is invalid, or a feature that it enables cannot start. {@link BalancerMain} catches this
 * exception instead of those of the settings package, which must not be loaded if there is no operator's file.
 */
final class InvalidFeatureException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Path file;

    InvalidFeatureException(Path file, String message, Throwable cause) {
        super(message, cause);
        this.file = file;
    }

    /** Returns the path of the operator's file. */
    Path file() {
        return file;
    }
}
