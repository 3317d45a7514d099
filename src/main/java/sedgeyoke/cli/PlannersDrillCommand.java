package sedgeyoke.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParentCommand;
import sedgeyoke.drill.PlannersDrill;

/** {@code drill planners}: kills, stalls and partitions planners and measures the effect on forwarders. */
@Command(
        name = "planners",
        mixinStandardHelpOptions = true,
        description = {
            "Runs three planners, six forwarders and twelve nodes; planners are killed, stalled and partitioned.",
            "Ends with 0 if service stays within 2% of a run without faults and no rule broke."
        })
final class PlannersDrillCommand implements Callable<Integer> {
    private static final int MIN_SECONDS = 10;
    private static final int MAX_SECONDS = 3_600;
    private static final double MAX_LOAD = 4;

    @ParentCommand
    private DrillCommand drill;

    @Option(names = "--seconds", paramLabel = "N", defaultValue = "60", description = "default: ${DEFAULT-VALUE}")
    private int seconds;

    @Mixin
    private SeedOption seed;

    @Option(
            names = "--load",
            paramLabel = "SHARE",
            defaultValue = PlannersDrill.DEFAULT_LOAD,
            description = "offered load as a share of the nodes' capacity; default: ${DEFAULT-VALUE}")
    private double load;

    @Option(names = "--json", description = "prints only the last line; broken rules go to standard error")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        if (seconds < MIN_SECONDS || seconds > MAX_SECONDS) {
            throw drill.usageError("--seconds must lie from 10 to 3600");
        }
        if (!(load > 0 && load <= MAX_LOAD)) { // also true for NaN
            throw drill.usageError("--load must lie above 0 and up to 4");
        }
        return drill.printMetrics(new PlannersDrill(seconds, seed.seed(), load, drill.progress(json)).run());
    }
}
