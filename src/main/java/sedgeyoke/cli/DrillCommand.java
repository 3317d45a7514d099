package sedgeyoke.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** {@code drill NAME}: injects faults into real processes on loopback and measures what the product promises. */
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

    /** An option of a drill is out of range; the usage that is printed is the one of all drills. */
    CommandLine.ParameterException usageError(String message) {
        return new CommandLine.ParameterException(spec.commandLine(), message);
    }

    /** Where results are printed. */
    PrintWriter out() {
        return spec.commandLine().getOut();
    }

    /** Where progress is printed: nowhere if {@code jsonOnly}. */
    PrintWriter progress(boolean jsonOnly) {
        return jsonOnly ? new PrintWriter(PrintWriter.nullWriter()) : out();
    }

    /** Prints the metrics as the last line and returns the exit code that they mean. */
    int printMetrics(ObjectNode metrics) {
        out().println(metrics);
        out().flush();
        return metrics.path("ok").asBoolean() ? CommandLine.ExitCode.OK : CommandLine.ExitCode.SOFTWARE;
    }
}
