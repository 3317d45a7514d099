package sedgeyoke.experiment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * Searches a file's search space for the scenario in which a variant performs worst, by invariant violations or by
 * loss of service relative to another variant. Then reduces the faults, forwarders, upstreams and duration of that
 * scenario while it still shows the finding. The result depends on the seed, not on the number of parallel runs.
 */
public final class WorstCaseSearch {
    private static final int MAX_REDUCTION_STEPS = 80;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final ExperimentFile file;
    private final SearchSpace space;
    private final long seed;
    private final int jobs;
    private final Path outFolder;
    private final PrintWriter progress;

    /** A draft and its severity. */
    private record Finding(ScenarioDraft draft, Severity severity) {
        @Override
        public String toString() {
            String what = severity.hasViolations()
                    ? "violates invariants"
                    : String.format(Locale.ROOT, "loss of service %.5f", severity.loss());
            return what + " with " + draft.faults().size() + " faults, " + draft.scenario();
        }
    }

    /** Creates a search; the file must have a {@code [hunt]} table. A finding is written to {@code outFolder}. */
    public WorstCaseSearch(ExperimentFile file, long seed, int jobs, Path outFolder, PrintWriter progress) {
        this.file = file;
        this.space = file.searchSpace().orElseThrow();
        this.seed = seed;
        this.jobs = jobs;
        this.outFolder = outFolder;
        this.progress = progress;
    }

    /** Runs the search. In the figures, {@code found} tells whether there is a finding, and {@code file} its path. */
    public ObjectNode run() throws IOException, InterruptedException {
        try (DraftEvaluator evaluator = new DraftEvaluator(file.name(), space, seed, jobs)) {
            Finding worst = search(evaluator);
            ObjectNode figures = JSON.createObjectNode()
                    .put("experiment", file.name())
                    .put("seed", seed)
                    .put("variant", space.variant())
                    .put("against", space.against())
                    .put("tries", space.drafts());
            if (!worst.severity().isFinding()) {
                return figures.put("plays", evaluator.evaluated())
                        .put("found", false)
                        .put("rule_broken", false);
            }
            Finding reduced = reduce(evaluator, worst);
            Path written = write(reduced.draft());
            if (!reduced.severity().hasViolations()) {
                figures.put("loss", Run.round(reduced.severity().loss()));
            }
            return figures.put("plays", evaluator.evaluated())
                    .put("found", true)
                    .put("rule_broken", reduced.severity().hasViolations())
                    .put("faults", reduced.draft().faults().size())
                    .put("faults_drawn", worst.draft().faults().size())
                    .put("file", written.toString());
        }
    }

    private Path write(ScenarioDraft draft) throws IOException {
        Files.createDirectories(outFolder);
        return Files.writeString(outFolder.resolve(file.name() + "-" + seed + ".toml"), draft.toToml());
    }

    /** Evaluates random drafts (at least one) and returns the worst. */
    private Finding search(DraftEvaluator evaluator) throws InterruptedException {
        DraftGenerator generator =
                new DraftGenerator(space, "Found by a hunt of " + file.name() + " with seed " + seed);
        SplittableRandom random = new SplittableRandom(seed);
        List<ScenarioDraft> drafts = new ArrayList<>();
        for (int i = 0; i < space.drafts(); i++) {
            drafts.add(generator.draw(random.split()));
        }
        List<Severity> severities = evaluator.evaluate(drafts);
        Finding worst = new Finding(drafts.get(0), severities.get(0));
        for (int i = 1; i < drafts.size(); i++) {
            if (severities.get(i).compareTo(worst.severity()) > 0) {
                worst = new Finding(drafts.get(i), severities.get(i));
            }
        }
        progress.printf(Locale.ROOT, "worst of %d drafts: %s%n", drafts.size(), worst);
        progress.flush();
        return worst;
    }

    /** Repeatedly applies the first reduction that still shows the finding, until no reduction does. */
    private Finding reduce(DraftEvaluator evaluator, Finding worst) throws InterruptedException {
        Finding reduced = worst;
        for (int step = 0; step < MAX_REDUCTION_STEPS; step++) {
            Finding next = firstReduction(evaluator, reduced.draft(), worst.severity());
            if (next == null) {
                break;
            }
            reduced = next;
        }
        progress.printf(Locale.ROOT, "reduced to: %s%n", reduced);
        progress.flush();
        return reduced;
    }

    /** Returns null if no reduction still shows the finding. */
    private static Finding firstReduction(DraftEvaluator evaluator, ScenarioDraft draft, Severity shown)
            throws InterruptedException {
        List<ScenarioDraft> reductions = DraftReducer.reductions(draft);
        List<Severity> severities = evaluator.evaluate(reductions);
        for (int i = 0; i < reductions.size(); i++) {
            if (shown.isReproducedBy(severities.get(i))) {
                return new Finding(reductions.get(i), severities.get(i));
            }
        }
        return null;
    }
}
