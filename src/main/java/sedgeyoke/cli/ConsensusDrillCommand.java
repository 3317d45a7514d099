package sedgeyoke.cli;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParentCommand;
import sedgeyoke.drill.ConsensusDrill;
import sedgeyoke.drill.ProgramProcess;

/** {@code drill consensus}: injects faults into processes, connections and disks of config servers and balancers. */
@Command(
        name = "consensus",
        mixinStandardHelpOptions = true,
        description = {
            "Runs config servers and balancers as processes with a fault proxy on every connection between two of"
                    + " them, under writes and traffic. A minority of the config servers at a time is killed,"
                    + " stopped, partitioned or has bits of its stored files flipped.",
            "Ends with 0 if no committed version was lost, answers were linearizable, no rule broke, and no request"
                    + " reached a cordoned node after the stated bound."
        })
final class ConsensusDrillCommand implements Callable<Integer> {
    private static final int MAX_CONFIG_SERVERS = 7;
    private static final int MIN_BALANCERS = 3;
    private static final int MAX_BALANCERS = 60;
    private static final int MIN_SECONDS = 12;
    private static final int MAX_SECONDS = 3_600;

    @ParentCommand
    private DrillCommand drill;

    @Option(names = "--config-servers", paramLabel = "N", defaultValue = "5", description = "default: ${DEFAULT-VALUE}")
    private int configServers;

    @Option(names = "--balancers", paramLabel = "N", defaultValue = "24", description = "default: ${DEFAULT-VALUE}")
    private int balancers;

    @Option(names = "--seconds", paramLabel = "N", defaultValue = "120", description = "default: ${DEFAULT-VALUE}")
    private int seconds;

    @Mixin
    private SeedOption seed;

    @Option(
            names = "--mode",
            paramLabel = "MODE",
            defaultValue = "faults",
            description = "faults, quiet (no faults) or without (faults, but balancers do not follow the"
                    + " config servers: each is changed through its own admin endpoint)")
    private ConsensusDrill.Mode mode;

    @Option(names = "--json", description = "prints only the last line")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        if (configServers < 1
                || configServers > MAX_CONFIG_SERVERS
                || balancers < MIN_BALANCERS
                || balancers > MAX_BALANCERS
                || seconds < MIN_SECONDS
                || seconds > MAX_SECONDS) {
            throw drill.usageError("--config-servers 1 to 7, --balancers 3 to 60, --seconds 12 to 3600");
        }
        PrintWriter progress = json ? Sedgeyoke.writer(System.err) : drill.out();
        ConsensusDrill.Options options = new ConsensusDrill.Options(
                configServers, balancers, seconds, seed.seed(), mode, ProgramProcess.program());
        return drill.printMetrics(new ConsensusDrill(options, progress).run());
    }
}
