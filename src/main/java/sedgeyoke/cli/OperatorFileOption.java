package sedgeyoke.cli;

import java.nio.file.Path;
import picocli.CommandLine.Option;

/** The option {@code --config}, the path of the operator's file. */
final class OperatorFileOption {
    @Option(
            names = "--config",
            paramLabel = "FILE",
            description = "operator's file; default: SEDGEYOKE_OPERATOR",
            defaultValue = "${env:SEDGEYOKE_OPERATOR}")
    private Path file;

    /** Returns the path, or null if neither the option nor the environment sets it. */
    Path file() {
        return file;
    }
}
