package sedgeyoke.experiment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import sedgeyoke.simulation.QueueingTheory;

/** Executes the runs of an experiment, stores them in a folder, and computes the figures of the comparison. */
public final class Experiment {
    private static final double THEORY_SCALE = 1;
    private static final double MAX_THEORY_ERROR = 0.03;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final ExperimentFile file;
    private final Options options;
    private final PrintWriter progress;

    /**
     * How an experiment is run.
     *
     * @param firstSeed the first of consecutive seeds
     * @param seeds number of seeds; every variant is run with each
     * @param jobs number of runs in parallel
     * @param out folder for the runs and the report, or null to store neither
     * @param resume whether to reuse the finished runs in the folder instead of deleting them
     */
    public record Options(long firstSeed, int seeds, int jobs, Path out, boolean resume) {}

    /** Creates an experiment that prints its progress to {@code progress}. */
    public Experiment(ExperimentFile file, Options options, PrintWriter progress) {
        this.file = file;
        this.options = options;
        this.progress = progress;
    }

    /**
     * Runs the experiment and returns its figures. In these, {@code ok} is false if an invariant was violated, or if
     * the simulation deviates too far from queueing theory.
     */
    public ObjectNode run() throws IOException, InterruptedException, InvalidExperimentException {
        return file.theory() ? checkTheory() : compareVariants();
    }

    private ObjectNode checkTheory() {
        List<QueueingTheory.Check> checks = QueueingTheory.checks(THEORY_SCALE, options.firstSeed());
        double worst = 0;
        for (QueueingTheory.Check check : checks) {
            progress.printf(
                    Locale.ROOT,
                    "%-70s expected %.5f, measured %.5f, relative error %.2f%%%n",
                    check.name(),
                    check.expected(),
                    check.measured(),
                    100 * check.relativeError());
            worst = Math.max(worst, check.relativeError());
        }
        progress.flush();
        return JSON.createObjectNode()
                .put("experiment", file.name())
                .put("seed", options.firstSeed())
                .put("checks", checks.size())
                .put("worst_relative_error", Run.round(worst))
                .put("ok", worst <= MAX_THEORY_ERROR);
    }

    private ObjectNode compareVariants() throws IOException, InterruptedException, InvalidExperimentException {
        if (options.out() == null) {
            return figures(new RunExecutor(file, options, Optional.empty(), progress).execute(Map.of()));
        }
        RunLog log = new RunLog(options.out());
        Map<Run.Key, Run> finished = Map.of();
        if (options.resume()) {
            finished = log.read(file);
        } else {
            log.clear();
        }
        List<Run> runs = new RunExecutor(file, options, Optional.of(log), progress).execute(finished);
        log.finish(runs);
        ObjectNode figures = figures(runs);
        Files.writeString(options.out().resolve("report.html"), Report.of(file, runs, figures));
        return figures;
    }

    private ObjectNode figures(List<Run> runs) {
        ObjectNode figures = new ExperimentFigures(file, options, runs, progress).compute();
        progress.flush();
        return figures;
    }
}
