package sedgeyoke.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sedgeyoke.experiment.Experiment;
import sedgeyoke.experiment.ExperimentFile;
import sedgeyoke.experiment.InvalidExperimentException;

/** {@code experiment FILE}: simulates variants with the same seeds in virtual time and compares them. */
@Command(
        name = "experiment",
        mixinStandardHelpOptions = true,
        description = "Simulates the variants in an experiment file in virtual time; the last line is one JSON object.")
final class ExperimentCommand implements Callable<Integer> {
    private static final int MAX_SEEDS = 100_000;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "such as experiments/planners.toml")
    private Path file;

    @Option(names = "--seeds", defaultValue = "10", description = "runs of each variant; default: ${DEFAULT-VALUE}")
    private int seeds;

    @Option(names = "--seed", defaultValue = "1", description = "the first seed; default: ${DEFAULT-VALUE}")
    private long seed;

    @Option(names = "--out", paramLabel = "DIR", description = "folder for runs.jsonl, runs.csv and report.html")
    private Path out;

    @Option(names = "--resume", description = "continues from the runs stored in DIR")
    private boolean resume;

    @Mixin
    private ParallelRunOptions runs;

    @Override
    public Integer call() throws Exception {
        if (seeds < 1 || seeds > MAX_SEEDS) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--seeds must lie from 1 to " + MAX_SEEDS);
        }
        if (resume && out == null) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--resume needs --out");
        }
        Experiment.Options options = new Experiment.Options(seed, seeds, runs.jobs(spec), out, resume);
        try {
            ObjectNode metrics = new Experiment(ExperimentFile.load(file), options, runs.progress(spec)).run();
            PrintWriter printer = spec.commandLine().getOut();
            printer.println(metrics);
            printer.flush();
            return metrics.path("ok").asBoolean() ? CommandLine.ExitCode.OK : CommandLine.ExitCode.SOFTWARE;
        } catch (InvalidExperimentException e) {
            spec.commandLine().getErr().println(e.getMessage());
            return CommandLine.ExitCode.USAGE;
        }
    }
}
