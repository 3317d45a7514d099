package sedgeyoke.drill;

import java.util.Map;
import java.util.TreeMap;

/** Counts injected faults and their direct effects by name. Thread-safe. */
final class FaultCounts {
    private final Map<String, Integer> counts = new TreeMap<>();

    synchronized void increment(String name) {
        counts.merge(name, 1, Integer::sum);
    }

    synchronized Map<String, Integer> byName() {
        return new TreeMap<>(counts);
    }
}
