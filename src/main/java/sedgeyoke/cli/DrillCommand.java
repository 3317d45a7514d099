package sedgeyoke.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sedgeyoke.drill.BodiesDrill;
import sedgeyoke.drill.ConsensusDrill;
import sedgeyoke.drill.PlannersDrill;
import sedgeyoke.drill.ProgramProcess;

/** {@code drill NAME}: measures what the product promises, against stand-ins. */
@Command(
        name = "drill",
        mixinStandardHelpOptions = true,
        description = "Plays faults against real processes on loopback; the last line is one JSON object.")
final class DrillCommand implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "which drill?");
    }

    @Command(
            name = "agree",
            mixinStandardHelpOptions = true,
            description = {
                "Keepers and balancers as processes, a proxy on every way between two of them, writers and traffic:"
                        + " keepers are killed, stopped, cut off and have bits of their folders flipped, a minority"
                        + " of them at once.",
                "Ends with 0 if no committed version was lost, answers came in order, no rule broke, and no request"
                        + " reached a node that was out for longer than is stated."
            })
    int agree(
            @Option(names = "--keepers", defaultValue = "5", description = "default: ${DEFAULT-VALUE}") int keepers,
            @Option(names = "--balancers", defaultValue = "24", description = "default: ${DEFAULT-VALUE}")
                    int balancers,
            @Option(names = "--seconds", defaultValue = "120", description = "default: ${DEFAULT-VALUE}") int seconds,
            @Option(names = "--seed", defaultValue = "1", description = "default: ${DEFAULT-VALUE}") long seed,
            @Option(
                            names = "--mode",
                            defaultValue = "faults",
                            description = "faults, quiet (the same without them) or"
                                    + " without (nothing is agreed, each balancer is told by itself)")
                    ConsensusDrill.Mode mode,
            @Option(names = "--json", description = "nothing but the last line") boolean json)
            throws Exception {
        if (keepers < 1 || keepers > 7 || balancers < 3 || balancers > 60 || seconds < 12 || seconds > 3_600) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "--keepers 1 to 7, --balancers 3 to 60, --seconds 12 to 3600");
        }
        PrintWriter out = spec.commandLine().getOut();
        return conclude(
                out,
                new ConsensusDrill(
                                keepers,
                                balancers,
                                seconds,
                                seed,
                                mode,
                                ProgramProcess.program(),
                                json ? new PrintWriter(System.err, true) : out)
                        .run());
    }

    @Command(
            name = "planners",
            mixinStandardHelpOptions = true,
            description = {
                "Three planners, six forwarders, twelve nodes: planners are killed, stalled and cut off.",
                "Ends with 0 if service stays within 2% of a run in which nothing failed and no rule broke."
            })
    int planners(
            @Option(names = "--seconds", defaultValue = "60", description = "default: ${DEFAULT-VALUE}") int seconds,
            @Option(names = "--seed", defaultValue = "1", description = "default: ${DEFAULT-VALUE}") long seed,
            @Option(
                            names = "--load",
                            defaultValue = PlannersDrill.USUAL_LOAD,
                            description = "share of the nodes' capacity that is asked for; default: ${DEFAULT-VALUE}")
                    double load,
            @Option(names = "--json", description = "nothing but the last line; broken rules go to standard error")
                    boolean json)
            throws Exception {
        if (seconds < 10 || seconds > 3_600) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--seconds must lie from 10 to 3600");
        }
        if (!(load > 0 && load <= 4)) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--load must lie above 0 and up to 4");
        }
        PrintWriter out = spec.commandLine().getOut();
        return conclude(
                out,
                new PlannersDrill(seconds, seed, load, json ? new PrintWriter(PrintWriter.nullWriter()) : out).run());
    }

    @Command(
            name = "bodies",
            mixinStandardHelpOptions = true,
            description = {
                "Long bodies both ways through one balancer: half of the pairs have a client that trickles, half a"
                        + " node.",
                "Ends with 0 if every pair is whole at both ends and memory stays flat under its ceiling."
            })
    int bodies(
            @Option(names = "--pairs", defaultValue = "1000", description = "default: ${DEFAULT-VALUE}") int pairs,
            @Option(names = "--seconds", defaultValue = "60", description = "default: ${DEFAULT-VALUE}") int seconds,
            @Option(names = "--seed", defaultValue = "1", description = "default: ${DEFAULT-VALUE}") long seed,
            @Option(names = "--off", description = "leaves [bodies] off, to compare") boolean off,
            @Option(names = "--json", description = "nothing but the last line") boolean json)
            throws Exception {
        if (seconds < 5 || seconds > 3_600 || pairs < 1 || pairs > 1_200) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "--seconds must lie from 5 to 3600, --pairs from 1 to 1200");
        }
        PrintWriter out = spec.commandLine().getOut();
        return conclude(
                out,
                new BodiesDrill(pairs, seconds, seed, !off, json ? new PrintWriter(PrintWriter.nullWriter()) : out)
                        .run());
    }

    private static int conclude(PrintWriter out, ObjectNode figures) {
        out.println(figures);
        out.flush();
        return figures.path("ok").asBoolean() ? 0 : 1;
    }
}
