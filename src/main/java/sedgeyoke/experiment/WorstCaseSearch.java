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
 * Searches the scenarios that a file allows for the one in which a variant does worst, by broken rules or by its loss
 * of service against another variant, and reduces it: to the fewest faults, forwarders, upstreams and seconds that
 * still show it. The same seed finds the same scenario, whatever the number of runs in parallel.
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

    /** A draft and how badly the variant does in it. */
    private record Finding(ScenarioDraft draft, Severity severity) {
        @Override
        public String toString() {
            String what =
                    severity.breaksRules() ? "breaks rules" : String.format(Locale.ROOT, "loses %.5f", severity.loss());
            return what + " with " + draft.faults().size() + " faults, " + draft.scenario();
        }
    }

    /** Creates a search of a file with a {@code [hunt]}; a finding is written to {@code outFolder}. */
    public WorstCaseSearch(ExperimentFile file, long seed, int jobs, Path outFolder, PrintWriter progress) {
        this.file = file;
        this.space = file.searchSpace().orElseThrow();
        this.seed = seed;
        this.jobs = jobs;
        this.outFolder = outFolder;
        this.progress = progress;
    }

    /** Searches; in the figures, {@code found} says whether there is a finding, and {@code file} where it is. */
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
            if (!reduced.severity().breaksRules()) {
                figures.put("loss", Run.round(reduced.severity().loss()));
            }
            return figures.put("plays", evaluator.evaluated())
                    .put("found", true)
                    .put("rule_broken", reduced.severity().breaksRules())
                    .put("faults", reduced.draft().faults().size())
                    .put("faults_drawn", worst.draft().faults().size())
                    .put("file", written.toString());
        }
    }

    private Path write(ScenarioDraft draft) throws IOException {
        Files.createDirectories(outFolder);
        return Files.writeString(outFolder.resolve(file.name() + "-" + seed + ".toml"), draft.toToml());
    }

    /** Evaluates random drafts, of which there is at least one, and returns the worst. */
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
        progress.printf(Locale.ROOT, "worst of %d: %s%n", drafts.size(), worst);
        progress.flush();
        return worst;
    }

    /** Takes the first reduction that still shows the finding, and goes on from there until none does. */
    private Finding reduce(DraftEvaluator evaluator, Finding worst) throws InterruptedException {
        Finding reduced = worst;
        for (int step = 0; step < MAX_REDUCTION_STEPS; step++) {
            Finding next = firstReduction(evaluator, reduced.draft(), worst.severity());
            if (next == null) {
                break;
            }
            reduced = next;
        }
        progress.printf(Locale.ROOT, "made small: %s%n", reduced);
        progress.flush();
        return reduced;
    }

    /** Returns null if no reduction still shows the finding. */
    private static Finding firstReduction(DraftEvaluator evaluator, ScenarioDraft draft, Severity shown)
            throws InterruptedException {
        List<ScenarioDraft> reductions = DraftReducer.reductions(draft);
        List<Severity> severities = evaluator.evaluate(reductions);
        for (int i = 0; i < reductions.size(); i++) {
            if (shown.isStillShownBy(severities.get(i))) {
                return new Finding(reductions.get(i), severities.get(i));
            }
        }
        return null;
    }
}
