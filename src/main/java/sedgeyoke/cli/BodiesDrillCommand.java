package sedgeyoke.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParentCommand;
import sedgeyoke.drill.BodiesDrill;

/** {@code drill bodies}: sends long bodies through one balancer, with slow clients and slow nodes. */
@Command(
        name = "bodies",
        mixinStandardHelpOptions = true,
        description = {
            "Sends long bodies both ways through one balancer: half of the transfers have a slow client, half a"
                    + " slow node.",
            "Ends with 0 if every transfer is complete at both ends and memory stays flat under its ceiling."
        })
final class BodiesDrillCommand implements Callable<Integer> {
    private static final int MAX_PAIRS = 1_200;
    private static final int MIN_SECONDS = 5;
    private static final int MAX_SECONDS = 3_600;

    @ParentCommand
    private DrillCommand drill;

    @Option(names = "--pairs", paramLabel = "N", defaultValue = "1000", description = "default: ${DEFAULT-VALUE}")
    private int pairs;

    @Option(names = "--seconds", paramLabel = "N", defaultValue = "60", description = "default: ${DEFAULT-VALUE}")
    private int seconds;

    @Mixin
    private SeedOption seed;

    @Option(names = "--off", description = "runs with [bodies] disabled, for comparison")
    private boolean off;

    @Option(names = "--json", description = "prints only the last line")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        if (seconds < MIN_SECONDS || seconds > MAX_SECONDS || pairs < 1 || pairs > MAX_PAIRS) {
            throw drill.usageError("--seconds must lie from 5 to 3600, --pairs from 1 to 1200");
        }
        return drill.printMetrics(new BodiesDrill(pairs, seconds, seed.seed(), !off, drill.progress(json)).run());
    }
}
