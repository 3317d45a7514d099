package sedgeyoke.cli;

import java.nio.file.Path;
import picocli.CommandLine.Option;

/** The option that names the operator's file of a process. */
final class OperatorFileOption {
    @Option(
            names = "--config",
            paramLabel = "FILE",
            description = "operator's file; default: SEDGEYOKE_OPERATOR",
            defaultValue = "${env:SEDGEYOKE_OPERATOR}")
    private Path file;

    /** The file, or null if neither the option nor the environment names one. */
    Path file() {
        return file;
    }
}
