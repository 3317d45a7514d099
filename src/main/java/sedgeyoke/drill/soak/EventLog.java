package sedgeyoke.drill.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/** The faults that were injected into a run, with their times in seconds since its start. Thread-safe. */
final class EventLog {
    private static final int MAX_LINES = 2_000;
    private static final double MICROS_PER_SECOND = 1e6;

    private final LongSupplier clockMicros;
    private final long startMicros;
    private final List<String> lines = new ArrayList<>();
    private final Map<String, Integer> counts = new TreeMap<>();

    EventLog(LongSupplier clockMicros) {
        this.clockMicros = clockMicros;
        this.startMicros = clockMicros.getAsLong();
    }

    synchronized void add(String kind, String details) {
        counts.merge(kind, 1, Integer::sum);
        if (lines.size() < MAX_LINES) {
            double seconds = (clockMicros.getAsLong() - startMicros) / MICROS_PER_SECOND;
            lines.add(String.format("%8.3f %s %s", seconds, kind, details));
        }
    }

    /** The number of faults. */
    synchronized int total() {
        return counts.values().stream().mapToInt(Integer::intValue).sum();
    }

    synchronized Map<String, Integer> counts() {
        return new TreeMap<>(counts);
    }

    synchronized List<String> lines() {
        return List.copyOf(lines);
    }
}
