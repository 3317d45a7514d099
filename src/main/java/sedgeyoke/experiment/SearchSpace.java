package sedgeyoke.experiment;

import java.util.List;
import java.util.Map;
import sedgeyoke.simulation.Scenario;

/**
 * The scenarios that a {@link WorstCaseSearch} may generate, and its target; the {@code [hunt]} table of the file.
 *
 * @param variant the variant whose worst case is searched for
 * @param against the variant to compare with; empty to search only for invariant violations
 * @param drafts number of scenarios to generate
 * @param maxFaults maximum number of faults per scenario, in addition to those of the variants
 * @param kinds kinds of faults to generate
 * @param ranges range of each scenario key that varies
 * @param scenario the file's values of the scenario keys
 * @param variants the file's tables of {@code variant} and {@code against}
 */
public record SearchSpace(
        String variant,
        String against,
        int drafts,
        int maxFaults,
        List<Scenario.Kind> kinds,
        Map<String, Range> ranges,
        Map<String, Object> scenario,
        List<Map<String, Object>> variants) {

    /** The minimum and the maximum value of a key. */
    public record Range(double min, double max) {}

    /** Whether the variant is compared with another variant. */
    boolean hasBaseline() {
        return !against.isEmpty();
    }
}
