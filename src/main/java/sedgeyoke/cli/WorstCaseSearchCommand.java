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
import sedgeyoke.experiment.ExperimentFile;
import sedgeyoke.experiment.InvalidExperimentException;
import sedgeyoke.experiment.WorstCaseSearch;

/** {@code search FILE}: searches the scenarios that a file allows for the one with the worst result. */
@Command(
        name = "search",
        mixinStandardHelpOptions = true,
        description = {
            "Searches the scenarios that [hunt] in an experiment file allows for the worst one, and minimises it.",
            "Ends with 1 if a rule was broken; the last line is one JSON object."
        })
final class WorstCaseSearchCommand implements Callable<Integer> {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "such as experiments/hunt.toml")
    private Path file;

    @Option(names = "--seed", defaultValue = "1", description = "seed for scenarios; default: ${DEFAULT-VALUE}")
    private long seed;

    @Option(names = "--out", paramLabel = "DIR", defaultValue = ".", description = "folder for the scenario file")
    private Path out;

    @Mixin
    private ParallelRunOptions runs;

    @Override
    public Integer call() throws Exception {
        int jobs = runs.jobs(spec);
        ExperimentFile experiment;
        try {
            experiment = ExperimentFile.load(file);
        } catch (InvalidExperimentException e) {
            spec.commandLine().getErr().println(e.getMessage());
            return CommandLine.ExitCode.USAGE;
        }
        if (experiment.searchSpace().isEmpty()) {
            spec.commandLine().getErr().println(file + ": hunt: is needed, with what may vary");
            return CommandLine.ExitCode.USAGE;
        }
        ObjectNode metrics = new WorstCaseSearch(experiment, seed, jobs, out, runs.progress(spec)).run();
        PrintWriter printer = spec.commandLine().getOut();
        printer.println(metrics);
        printer.flush();
        return metrics.path("rule_broken").asBoolean() ? CommandLine.ExitCode.SOFTWARE : CommandLine.ExitCode.OK;
    }
}
