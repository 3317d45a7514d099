package sedgeyoke.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sedgeyoke.drill.BodiesDrill;
import sedgeyoke.drill.ConsensusDrill;
import sedgeyoke.drill.PlannersDrill;
import sedgeyoke.drill.ProgramProcess;
import sedgeyoke.drill.soak.SoakDrill;
import sedgeyoke.drill.soak.SoakOptions;

/** {@code drill NAME}: injects faults into real processes on loopback and measures what the product promises. */
@Command(
        name = "drill",
        mixinStandardHelpOptions = true,
        description = "Injects faults into real processes on loopback; the last line is one JSON object.")
final class DrillCommand implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "which drill?");
    }

    @Command(
            name = "consensus",
            mixinStandardHelpOptions = true,
            description = {
                "Runs config servers and balancers as processes with a fault proxy on every connection between two of"
                        + " them, under writes and traffic. A minority of the config servers at a time is killed,"
                        + " stopped, partitioned or has bits of its stored files flipped.",
                "Ends with 0 if no committed version was lost, answers were linearizable, no rule broke, and no request"
                        + " reached a node that was out for longer than the stated bound."
            })
    int consensus(
            @Option(
                            names = "--config-servers",
                            paramLabel = "N",
                            defaultValue = "5",
                            description = "default: ${DEFAULT-VALUE}")
                    int configServers,
            @Option(
                            names = "--balancers",
                            paramLabel = "N",
                            defaultValue = "24",
                            description = "default: ${DEFAULT-VALUE}")
                    int balancers,
            @Option(
                            names = "--seconds",
                            paramLabel = "N",
                            defaultValue = "120",
                            description = "default: ${DEFAULT-VALUE}")
                    int seconds,
            @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "default: ${DEFAULT-VALUE}")
                    long seed,
            @Option(
                            names = "--mode",
                            paramLabel = "MODE",
                            defaultValue = "faults",
                            description =
                                    "faults, quiet (no faults) or without (faults, but balancers do not follow the"
                                            + " config servers: each is changed through its own admin endpoint)")
                    ConsensusDrill.Mode mode,
            @Option(names = "--json", description = "nothing but the last line") boolean json)
            throws Exception {
        if (configServers < 1
                || configServers > 7
                || balancers < 3
                || balancers > 60
                || seconds < 12
                || seconds > 3_600) {
            throw usageError("--config-servers 1 to 7, --balancers 3 to 60, --seconds 12 to 3600");
        }
        PrintWriter progress =
                json ? Sedgeyoke.writer(System.err) : spec.commandLine().getOut();
        ConsensusDrill.Options options =
                new ConsensusDrill.Options(configServers, balancers, seconds, seed, mode, ProgramProcess.program());
        return printMetrics(new ConsensusDrill(options, progress).run());
    }

    @Command(
            name = "planners",
            mixinStandardHelpOptions = true,
            description = {
                "Runs three planners, six forwarders and twelve nodes; planners are killed, stalled and partitioned.",
                "Ends with 0 if service stays within 2% of a run without faults and no rule broke."
            })
    int planners(
            @Option(
                            names = "--seconds",
                            paramLabel = "N",
                            defaultValue = "60",
                            description = "default: ${DEFAULT-VALUE}")
                    int seconds,
            @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "default: ${DEFAULT-VALUE}")
                    long seed,
            @Option(
                            names = "--load",
                            paramLabel = "SHARE",
                            defaultValue = PlannersDrill.DEFAULT_LOAD,
                            description = "offered load as a share of the nodes' capacity; default: ${DEFAULT-VALUE}")
                    double load,
            @Option(names = "--json", description = "nothing but the last line; broken rules go to standard error")
                    boolean json)
            throws Exception {
        if (seconds < 10 || seconds > 3_600) {
            throw usageError("--seconds must lie from 10 to 3600");
        }
        if (!(load > 0 && load <= 4)) {
            throw usageError("--load must lie above 0 and up to 4");
        }
        return printMetrics(new PlannersDrill(seconds, seed, load, progress(json)).run());
    }

    @Command(
            name = "bodies",
            mixinStandardHelpOptions = true,
            description = {
                "Sends long bodies both ways through one balancer: half of the transfers have a slow client, half a"
                        + " slow node.",
                "Ends with 0 if every transfer is complete at both ends and memory stays flat under its ceiling."
            })
    int bodies(
            @Option(
                            names = "--pairs",
                            paramLabel = "N",
                            defaultValue = "1000",
                            description = "default: ${DEFAULT-VALUE}")
                    int pairs,
            @Option(
                            names = "--seconds",
                            paramLabel = "N",
                            defaultValue = "60",
                            description = "default: ${DEFAULT-VALUE}")
                    int seconds,
            @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "default: ${DEFAULT-VALUE}")
                    long seed,
            @Option(names = "--off", description = "leaves [bodies] off, to compare") boolean off,
            @Option(names = "--json", description = "nothing but the last line") boolean json)
            throws Exception {
        if (seconds < 5 || seconds > 3_600 || pairs < 1 || pairs > 1_200) {
            throw usageError("--seconds must lie from 5 to 3600, --pairs from 1 to 1200");
        }
        return printMetrics(new BodiesDrill(pairs, seconds, seed, !off, progress(json)).run());
    }

    @Command(
            name = "soak",
            mixinStandardHelpOptions = true,
            description = {
                "Runs balancers as processes under faults of discovery, nodes, clients, signals and, with --shim, the"
                        + " system; each seed draws size and faults.",
                "Ends with 0 if no rule broke and each process started and ended in time."
            })
    int soak(
            @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "default: ${DEFAULT-VALUE}")
                    long seed,
            @Option(
                            names = "--seeds",
                            paramLabel = "N",
                            defaultValue = "1",
                            description = "this seed and so many after it; default: ${DEFAULT-VALUE}")
                    int seeds,
            @Option(
                            names = "--seconds",
                            paramLabel = "N",
                            defaultValue = "30",
                            description = "for each seed; default: ${DEFAULT-VALUE}")
                    int seconds,
            @Option(
                            names = "--balancers",
                            paramLabel = "N",
                            defaultValue = "8",
                            description = "the most that a seed draws; default: ${DEFAULT-VALUE}")
                    int balancers,
            @Option(
                            names = "--parallel",
                            paramLabel = "N",
                            defaultValue = "1",
                            description = "seeds at the same time; default: ${DEFAULT-VALUE}")
                    int parallel,
            @Option(
                            names = "--shim",
                            paramLabel = "FILE",
                            description = "the library built from src/test/native/fault_shim.c")
                    Path shim,
            @Option(names = "--json", description = "nothing but the last line") boolean json)
            throws Exception {
        if (seeds < 1 || seconds < 3 || seconds > 3_600 || balancers < 2 || balancers > 24 || parallel < 1) {
            throw usageError("--seeds from 1, --seconds 3 to 3600, --balancers 2 to 24, --parallel from 1");
        }
        if (shim != null && !Files.isRegularFile(shim)) {
            throw usageError("--shim: no file " + shim);
        }
        SoakOptions options = new SoakOptions(seed, seeds, seconds, balancers, parallel, shim);
        return printMetrics(new SoakDrill(options, progress(json)).run());
    }

    private CommandLine.ParameterException usageError(String message) {
        return new CommandLine.ParameterException(spec.commandLine(), message);
    }

    private PrintWriter progress(boolean json) {
        return json
                ? new PrintWriter(PrintWriter.nullWriter())
                : spec.commandLine().getOut();
    }

    private int printMetrics(ObjectNode metrics) {
        PrintWriter out = spec.commandLine().getOut();
        out.println(metrics);
        out.flush();
        return metrics.path("ok").asBoolean() ? CommandLine.ExitCode.OK : CommandLine.ExitCode.SOFTWARE;
    }
}
