package sedgeyoke.experiment;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
import sedgeyoke.simulation.Simulation;

/** Executes the runs of an experiment in parallel, and prints its progress. */
final class RunExecutor {
    private static final int PROGRESS_LINES = 10;

    private final ExperimentFile file;
    private final Experiment.Options options;
    private final Optional<RunLog> log;
    private final PrintWriter progress;
    private long startedAtNanos;
    private int totalRuns;
    private int completedRuns;

    RunExecutor(ExperimentFile file, Experiment.Options options, Optional<RunLog> log, PrintWriter progress) {
        this.file = file;
        this.options = options;
        this.log = log;
        this.progress = progress;
    }

    /** Executes the runs that are not finished yet; returns all runs, ordered by point, variant and seed. */
    List<Run> execute(Map<Run.Key, Run> finished) throws InterruptedException {
        startedAtNanos = System.nanoTime();
        int variants = file.points().stream()
                .mapToInt(point -> point.variants().size())
                .sum();
        totalRuns = variants * options.seeds() - finished.size();
        ExecutorService pool = WorkerThreads.newPool(options.jobs());
        try {
            return collect(finished, submitAll(pool, finished));
        } catch (ExecutionException e) {
            throw new IllegalStateException("simulation run failed: " + e.getCause(), e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }

    /** Submits all variants of a seed in succession, so that an interrupted experiment has comparable runs. */
    private Map<Run.Key, Future<Run>> submitAll(ExecutorService pool, Map<Run.Key, Run> finished) {
        Map<Run.Key, Future<Run>> submitted = new LinkedHashMap<>();
        for (ExperimentFile.Point point : file.points()) {
            for (int i = 0; i < options.seeds(); i++) {
                for (String variant : point.variants().keySet()) {
                    Run.Key key = new Run.Key(point.label(), variant, options.firstSeed() + i);
                    if (!finished.containsKey(key)) {
                        submitted.put(key, pool.submit(() -> execute(point, key)));
                    }
                }
            }
        }
        return submitted;
    }

    private Run execute(ExperimentFile.Point point, Run.Key key) throws Exception {
        Simulation simulation = new Simulation(point.variants().get(key.variant()), key.seed());
        boolean firstSeed = key.seed() == options.firstSeed();
        Run run = Run.of(file, point, key.variant(), simulation.run(), firstSeed);
        if (log.isPresent()) {
            log.get().append(run);
        }
        printProgress();
        return run;
    }

    private List<Run> collect(Map<Run.Key, Run> finished, Map<Run.Key, Future<Run>> submitted)
            throws InterruptedException, ExecutionException {
        List<Run> runs = new ArrayList<>();
        for (ExperimentFile.Point point : file.points()) {
            for (String variant : point.variants().keySet()) {
                for (int i = 0; i < options.seeds(); i++) {
                    Run.Key key = new Run.Key(point.label(), variant, options.firstSeed() + i);
                    Run run = finished.get(key);
                    runs.add(run != null ? run : submitted.get(key).get());
                }
            }
        }
        return runs;
    }

    private synchronized void printProgress() {
        completedRuns++;
        if (completedRuns % Math.max(1, totalRuns / PROGRESS_LINES) == 0) {
            double elapsedSeconds = (System.nanoTime() - startedAtNanos) / 1e9;
            double remainingSeconds = elapsedSeconds / completedRuns * (totalRuns - completedRuns);
            progress.printf(
                    Locale.ROOT, "%d of %d runs, about %.0f s left%n", completedRuns, totalRuns, remainingSeconds);
            progress.flush();
        }
    }
}
