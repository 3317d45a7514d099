package sedgeyoke.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sedgeyoke.experiment.ExperimentFile;
import sedgeyoke.experiment.InvalidExperimentException;
import sedgeyoke.experiment.WorstCaseSearch;

/** {@code hunt FILE}: the scenario, of those that a file allows, in which a variant does worst. */
@Command(
        name = "hunt",
        mixinStandardHelpOptions = true,
        description = {
            "Looks through the scenarios that [hunt] of an experiment's file allows for the worst one, and makes it"
                    + " small.",
            "Ends with 1 if a rule was broken; the last line is one JSON object."
        })
final class WorstCaseSearchCommand implements Callable<Integer> {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "such as experiments/hunt.toml")
    private Path file;

    @Option(names = "--seed", defaultValue = "1", description = "of what is drawn; default: ${DEFAULT-VALUE}")
    private long seed;

    @Option(names = "--jobs", description = "runs side by side; default: one for each processor")
    private Integer jobs;

    @Option(names = "--out", paramLabel = "DIR", defaultValue = ".", description = "for the file that is found")
    private Path out;

    @Option(names = "--json", description = "nothing but the last line")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        if (jobs != null && (jobs < 1 || jobs > 256)) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--jobs must lie from 1 to 256");
        }
        PrintWriter printer = spec.commandLine().getOut();
        ExperimentFile experiment;
        try {
            experiment = ExperimentFile.load(file);
        } catch (InvalidExperimentException e) {
            spec.commandLine().getErr().println(e.getMessage());
            return CommandLine.ExitCode.USAGE;
        }
        if (experiment.hunt() == null) {
            spec.commandLine().getErr().println(file + ": hunt: is needed, with what may vary");
            return CommandLine.ExitCode.USAGE;
        }
        ObjectNode figures = new WorstCaseSearch(
                        experiment,
                        seed,
                        jobs == null ? Runtime.getRuntime().availableProcessors() : jobs,
                        out,
                        json ? new PrintWriter(PrintWriter.nullWriter()) : printer)
                .run();
        printer.println(figures);
        printer.flush();
        return figures.path("rule_broken").asBoolean() ? CommandLine.ExitCode.SOFTWARE : CommandLine.ExitCode.OK;
    }
}
