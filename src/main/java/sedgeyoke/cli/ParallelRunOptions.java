package sedgeyoke.cli;

import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;

/** Options of the commands that run simulations in parallel and finally print one JSON object. */
final class ParallelRunOptions {
    private static final int MAX_JOBS = 256;

    @Option(names = "--jobs", description = "simulations run in parallel; default: one per processor")
    private Integer jobs;

    @Option(names = "--json", description = "prints only the last line")
    private boolean json;

    /** Returns how many simulations run in parallel; throws if the option is out of range. */
    int jobs(CommandSpec command) {
        if (jobs == null) {
            return Runtime.getRuntime().availableProcessors();
        }
        if (jobs < 1 || jobs > MAX_JOBS) {
            throw new CommandLine.ParameterException(command.commandLine(), "--jobs must lie from 1 to " + MAX_JOBS);
        }
        return jobs;
    }

    /** Returns the writer for progress: the command's output, or one that discards everything with {@code --json}. */
    PrintWriter progress(CommandSpec command) {
        return json
                ? new PrintWriter(PrintWriter.nullWriter())
                : command.commandLine().getOut();
    }
}
