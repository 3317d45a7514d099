package sedgeyoke.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** {@code drill NAME}: injects faults into real processes on loopback and measures whether guarantees hold. */
@Command(
        name = "drill",
        mixinStandardHelpOptions = true,
        description = "Injects faults into real processes on loopback; the last line is one JSON object.",
        subcommands = {
            BodiesDrillCommand.class,
            ConsensusDrillCommand.class,
            PlannersDrillCommand.class,
            SoakDrillCommand.class
        })
final class DrillCommand implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw usageError("which drill?");
    }

    /** Returns the exception for an invalid option of a drill; the usage printed with it is that of {@code drill}. */
    CommandLine.ParameterException usageError(String message) {
        return new CommandLine.ParameterException(spec.commandLine(), message);
    }

    /** Returns the writer for results. */
    PrintWriter out() {
        return spec.commandLine().getOut();
    }

    /** Returns the writer for progress, which discards everything if {@code jsonOnly}. */
    PrintWriter progress(boolean jsonOnly) {
        return jsonOnly ? new PrintWriter(PrintWriter.nullWriter()) : out();
    }

    /** Prints the metrics as the last line and returns the exit code for them. */
    int printMetrics(ObjectNode metrics) {
        out().println(metrics);
        out().flush();
        return metrics.path("ok").asBoolean() ? CommandLine.ExitCode.OK : CommandLine.ExitCode.SOFTWARE;
    }
}
