package sedgeyoke.serve;

import java.nio.file.Path;

/**
 * An operator's file that the balancer cannot start with. It stands for the exceptions of the settings in
 * {@link BalancerMain}, which must not load their package where no such file is named.
 */
final class InvalidFeatureException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Path file;

    InvalidFeatureException(Path file, String message, Throwable cause) {
        super(message, cause);
        this.file = file;
    }

    /** The operator's file. */
    Path file() {
        return file;
    }
}
