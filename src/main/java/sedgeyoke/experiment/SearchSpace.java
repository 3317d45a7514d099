package sedgeyoke.experiment;

import java.util.List;
import java.util.Map;
import sedgeyoke.simulation.Scenario;

/**
 * What a {@link WorstCaseSearch} may vary, and what it searches for; the file's {@code [hunt]}.
 *
 * @param variant the variant whose worst case is searched for
 * @param against the variant that it is compared with; empty where only broken rules count
 * @param drafts number of scenarios that are drawn
 * @param maxFaults in each, beside those of the variants
 * @param kinds of faults that may be drawn
 * @param ranges of the keys of the scenario that vary
 * @param scenario the file's own values of all keys
 * @param variants the file's tables of the two variants
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

    /** The least and the greatest value of a key. */
    public record Range(double min, double max) {}

    /** Whether the variant is compared with another one. */
    boolean hasBaseline() {
        return !against.isEmpty();
    }
}
