package sedgeyoke.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sedgeyoke.drill.PlannersDrill;

/** {@code drill NAME}: measures what the product promises, against stand-ins. */
@Command(name = "drill", mixinStandardHelpOptions = true,
        description = "Plays faults against real processes on loopback; the last line is one JSON object.")
final class Drill implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "which drill?");
    }

    @Command(name = "planners", mixinStandardHelpOptions = true, description = {
        "Three planners, six forwarders, twelve nodes: planners are killed, stalled and cut off.",
        "Ends with 0 if service stays within 2% of a run in which nothing failed and no rule broke."})
    int planners(
            @Option(names = "--seconds", defaultValue = "60", description = "default: ${DEFAULT-VALUE}") int seconds,
            @Option(names = "--seed", defaultValue = "1", description = "default: ${DEFAULT-VALUE}") long seed,
            @Option(names = "--load", defaultValue = PlannersDrill.USUAL_LOAD,
                    description = "share of the nodes' capacity that is asked for; default: ${DEFAULT-VALUE}")
                    double load,
            @Option(names = "--json", description = "nothing but the last line; broken rules go to standard error")
                    boolean json) throws Exception {
        if (seconds < 10 || seconds > 3_600) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--seconds must lie from 10 to 3600");
        }
        if (!(load > 0 && load <= 4)) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--load must lie above 0 and up to 4");
        }
        PrintWriter out = spec.commandLine().getOut();
        return conclude(out, new PlannersDrill(seconds, seed, load,
                json ? new PrintWriter(PrintWriter.nullWriter()) : out).run());
    }

    private static int conclude(PrintWriter out, ObjectNode figures) {
        out.println(figures);
        out.flush();
        return figures.path("ok").asBoolean() ? 0 : 1;
    }
}
