package sedgeyoke.experiment;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
import sedgeyoke.simulation.Scenario;
import sedgeyoke.simulation.Simulation;
import sedgeyoke.simulation.SimulationResult;

/** Simulates scenario drafts in parallel, and determines the severity of each for the variant under test. */
final class DraftEvaluator implements AutoCloseable {
    /** Number of seeds with which each draft is run, as the loss with a single seed may be due to chance. */
    private static final int SEEDS_PER_DRAFT = 2;

    private final String experiment;
    private final SearchSpace space;
    private final long firstSeed;
    private final ExecutorService pool;
    private long evaluated;

    DraftEvaluator(String experiment, SearchSpace space, long firstSeed, int jobs) {
        this.experiment = experiment;
        this.space = space;
        this.firstSeed = firstSeed;
        this.pool = WorkerThreads.newPool(jobs);
    }

    /** Number of drafts evaluated so far. */
    long evaluated() {
        return evaluated;
    }

    /** Evaluates drafts, and returns their severities in the same order. */
    List<Severity> evaluate(List<ScenarioDraft> drafts) throws InterruptedException {
        List<Future<Severity>> pending = new ArrayList<>();
        for (ScenarioDraft draft : drafts) {
            pending.add(pool.submit(() -> evaluate(draft)));
        }
        List<Severity> severities = new ArrayList<>();
        try {
            for (Future<Severity> severity : pending) {
                severities.add(severity.get());
            }
        } catch (ExecutionException e) {
            throw new IllegalStateException("simulation run failed: " + e.getCause(), e.getCause());
        }
        evaluated += drafts.size();
        return severities;
    }

    private Severity evaluate(ScenarioDraft draft) throws InvalidExperimentException {
        Path name = Path.of(experiment + "-draft.toml");
        Map<String, Scenario> variants =
                ExperimentFile.parse(name, draft.toToml()).points().get(0).variants();
        double loss = 0;
        for (int i = 0; i < SEEDS_PER_DRAFT; i++) {
            SimulationResult outcome = run(variants.get(space.variant()), i);
            if (outcome.totalViolations() > 0) {
                return Severity.ofViolations(outcome.totalViolations());
            }
            if (space.hasBaseline()) {
                loss += run(variants.get(space.against()), i).service() - outcome.service();
            }
        }
        return Severity.ofLoss(loss / SEEDS_PER_DRAFT);
    }

    private SimulationResult run(Scenario scenario, int repetition) {
        return new Simulation(scenario, firstSeed + repetition).run();
    }

    @Override
    public void close() {
        pool.shutdownNow();
    }
}
