package sedgeyoke.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import sedgeyoke.simulation.Scenario.Fault;
import sedgeyoke.simulation.Scenario.Kind;

/** Generates random scenario drafts from a search space. */
final class DraftGenerator {
    /** Keys with log-uniformly drawn values: in a range such as 3 to 300, small sizes matter as much as large ones. */
    private static final Set<String> SIZE_KEYS = Set.of("nodes", "forwarders", "keys", "burst");

    private static final double MIN_FAULT_SECONDS = 1;
    private static final double MAX_FAULT_SECONDS = 8;
    private static final int MAX_TARGET = 1_000;

    private final SearchSpace space;
    private final String title;

    /** Creates a generator; all its drafts have the given title. */
    DraftGenerator(SearchSpace space, String title) {
        this.space = space;
        this.title = title;
    }

    ScenarioDraft draw(SplittableRandom random) {
        Map<String, Object> scenario = new LinkedHashMap<>(space.scenario());
        space.ranges().forEach((key, range) -> scenario.put(key, drawValue(key, range, random)));
        double seconds = ScenarioDraft.secondsOf(scenario);
        List<Fault> faults = new ArrayList<>();
        int count = space.maxFaults() == 0 ? 0 : 1 + random.nextInt(space.maxFaults());
        for (int i = 0; i < count; i++) {
            faults.add(drawFault(seconds, random));
        }
        return new ScenarioDraft(title, scenario, faults, space.variants(), compare());
    }

    private Map<String, Object> compare() {
        Map<String, Object> compare = new LinkedHashMap<>();
        if (space.hasBaseline()) {
            compare.put("base", space.against());
            compare.put("with", space.variant());
        } else {
            compare.put("base", space.variant());
        }
        return compare;
    }

    private Fault drawFault(double scenarioSeconds, SplittableRandom random) {
        Kind kind = space.kinds().get(random.nextInt(space.kinds().size()));
        double value =
                switch (kind) {
                    case ZONE_LOAD, SLOW_NODE -> 1 + 2 * random.nextDouble();
                    case DRAIN_NODE -> 1 + 3 * random.nextDouble();
                    default -> 0;
                };
        double startSeconds = scenarioSeconds * (0.2 + 0.6 * random.nextDouble());
        int target = random.nextInt(MAX_TARGET);
        double durationSeconds = MIN_FAULT_SECONDS + (MAX_FAULT_SECONDS - MIN_FAULT_SECONDS) * random.nextDouble();
        return new Fault(startSeconds, kind, target, 1, 0, durationSeconds, value);
    }

    private static Object drawValue(String key, SearchSpace.Range range, SplittableRandom random) {
        double position = random.nextDouble();
        if (SIZE_KEYS.contains(key)) {
            double min = Math.max(1, range.min());
            return Math.round(min * Math.pow(Math.max(1, range.max()) / min, position));
        }
        double value = range.min() + position * (range.max() - range.min());
        boolean wholeNumber = key.endsWith("_us") || key.endsWith("_ms");
        return wholeNumber ? (Object) Math.round(value) : value;
    }
}
