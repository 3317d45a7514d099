package sedgeyoke.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParentCommand;
import sedgeyoke.drill.soak.SoakDrill;
import sedgeyoke.drill.soak.SoakOptions;

/** {@code drill soak}: runs balancers under faults of discovery, nodes, clients, signals and system calls. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description = {
            "Runs balancers as processes under faults of discovery, nodes, clients, signals and, with --shim, the"
                    + " system; each seed draws size and faults.",
            "Ends with 0 if no rule broke and each process started and ended in time."
        })
final class SoakDrillCommand implements Callable<Integer> {
    private static final int MIN_SECONDS = 3;
    private static final int MAX_SECONDS = 3_600;
    private static final int MIN_BALANCERS = 2;
    private static final int MAX_BALANCERS = 24;

    @ParentCommand
    private DrillCommand drill;

    @Mixin
    private SeedOption seed;

    @Option(
            names = "--seeds",
            paramLabel = "N",
            defaultValue = "1",
            description = "number of consecutive seeds, from --seed on; default: ${DEFAULT-VALUE}")
    private int seeds;

    @Option(
            names = "--seconds",
            paramLabel = "N",
            defaultValue = "30",
            description = "duration for each seed; default: ${DEFAULT-VALUE}")
    private int seconds;

    @Option(
            names = "--balancers",
            paramLabel = "N",
            defaultValue = "8",
            description = "most balancers that a seed draws; default: ${DEFAULT-VALUE}")
    private int balancers;

    @Option(
            names = "--parallel",
            paramLabel = "N",
            defaultValue = "1",
            description = "seeds run in parallel; default: ${DEFAULT-VALUE}")
    private int parallel;

    @Option(names = "--shim", paramLabel = "FILE", description = "the library built from src/test/native/fault_shim.c")
    private Path shim;

    @Option(names = "--json", description = "prints only the last line")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        if (seeds < 1
                || seconds < MIN_SECONDS
                || seconds > MAX_SECONDS
                || balancers < MIN_BALANCERS
                || balancers > MAX_BALANCERS
                || parallel < 1) {
            throw drill.usageError("--seeds from 1, --seconds 3 to 3600, --balancers 2 to 24, --parallel from 1");
        }
        if (shim != null && !Files.isRegularFile(shim)) {
            throw drill.usageError("--shim: no file " + shim);
        }
        SoakOptions options = new SoakOptions(seed.seed(), seeds, seconds, balancers, parallel, shim);
        return drill.printMetrics(new SoakDrill(options, drill.progress(json)).run());
    }
}
