package sedgeyoke.cli;

import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;

/** Options of the commands that run many simulations side by side and print one JSON object at their end. */
final class ParallelRunOptions {
    private static final int MAX_JOBS = 256;

    @Option(names = "--jobs", description = "runs side by side; default: one for each processor")
    private Integer jobs;

    @Option(names = "--json", description = "nothing but the last line")
    private boolean json;

    /** How many runs go on at once; throws if the option is out of range. */
    int jobs(CommandSpec command) {
        if (jobs == null) {
            return Runtime.getRuntime().availableProcessors();
        }
        if (jobs < 1 || jobs > MAX_JOBS) {
            throw new CommandLine.ParameterException(command.commandLine(), "--jobs must lie from 1 to " + MAX_JOBS);
        }
        return jobs;
    }

    /** Where progress is printed: standard output, or nowhere with {@code --json}. */
    PrintWriter progress(CommandSpec command) {
        return json
                ? new PrintWriter(PrintWriter.nullWriter())
                : command.commandLine().getOut();
    }
}
