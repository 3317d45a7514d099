package sedgeyoke.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sedgeyoke.experiment.Experiment;
import sedgeyoke.experiment.ExperimentFile;
import sedgeyoke.experiment.InvalidExperimentException;

/** {@code experiment FILE}: plays variants of a scenario in virtual time, with the same seeds, and compares them. */
@Command(
        name = "experiment",
        mixinStandardHelpOptions = true,
        description = "Plays the variants of an experiment's file in virtual time; the last line is one JSON object.")
final class ExperimentCommand implements Callable<Integer> {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "such as experiments/planners.toml")
    private Path file;

    @Option(names = "--seeds", defaultValue = "10", description = "runs of each variant; default: ${DEFAULT-VALUE}")
    private int seeds;

    @Option(names = "--seed", defaultValue = "1", description = "the first of them; default: ${DEFAULT-VALUE}")
    private long seed;

    @Option(names = "--jobs", description = "runs side by side; default: one for each processor")
    private Integer jobs;

    @Option(names = "--out", paramLabel = "DIR", description = "writes runs.jsonl, runs.csv and report.html there")
    private Path out;

    @Option(names = "--resume", description = "goes on from the runs that are in DIR")
    private boolean resume;

    @Option(names = "--json", description = "nothing but the last line")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        if (seeds < 1 || seeds > 100_000 || jobs != null && (jobs < 1 || jobs > 256)) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "--seeds must lie from 1 to 100000, --jobs from 1 to 256");
        }
        if (resume && out == null) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--resume needs --out");
        }
        PrintWriter printer = spec.commandLine().getOut();
        ObjectNode figures;
        try {
            figures = new Experiment(
                            ExperimentFile.load(file),
                            new Experiment.Plan(
                                    seed,
                                    seeds,
                                    jobs == null ? Runtime.getRuntime().availableProcessors() : jobs,
                                    out,
                                    resume),
                            json ? new PrintWriter(PrintWriter.nullWriter()) : printer)
                    .run();
        } catch (InvalidExperimentException e) {
            spec.commandLine().getErr().println(e.getMessage());
            return CommandLine.ExitCode.USAGE;
        }
        printer.println(figures);
        printer.flush();
        return figures.path("ok").asBoolean() ? CommandLine.ExitCode.OK : CommandLine.ExitCode.SOFTWARE;
    }
}
