package sedgeyoke.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Samples the true utilisation of each upstream once a second. */
final class UtilisationSampler {
    /** The value for an upstream that is not running. */
    static final double ABSENT = -1;

    private static final long SECOND = 1_000_000;

    private final SimulatedUpstreams upstreams;
    private final Map<String, List<Double>> byUpstream = new LinkedHashMap<>();
    private final Map<String, Long> previousBusyMicros = new LinkedHashMap<>();
    private double countedUtilisation;
    private int samples;

    UtilisationSampler(SimulatedUpstreams upstreams) {
        this.upstreams = upstreams;
    }

    /** Samples the last second; {@code afterWarmUp} says whether it counts for the mean. */
    void sample(boolean afterWarmUp) {
        double busyMicros = 0;
        double runningCores = 0;
        for (SimulatedUpstream upstream : upstreams.all()) {
            int cores = upstream.model().spec().cores();
            long total = upstream.model().busyCoreMicros();
            long difference = total - previousBusyMicros.getOrDefault(upstream.id(), 0L);
            previousBusyMicros.put(upstream.id(), total);
            boolean running = upstream.isRunning();
            samplesOf(upstream).add(running ? difference / (double) (SECOND * cores) : ABSENT);
            busyMicros += difference;
            runningCores += running ? cores : 0;
        }
        samples++;
        countedUtilisation += afterWarmUp && runningCores > 0 ? busyMicros / SECOND / runningCores : 0;
    }

    /** The upstream's samples, padded with {@link #ABSENT} up to this sample. */
    private List<Double> samplesOf(SimulatedUpstream upstream) {
        List<Double> values = byUpstream.computeIfAbsent(upstream.id(), id -> new ArrayList<>());
        while (values.size() < samples) {
            values.add(ABSENT);
        }
        return values;
    }

    /** Mean utilisation of all cores after the warm-up. */
    double mean(double warmUpSeconds) {
        return countedUtilisation / Math.max(1, samples - (int) Math.floor(warmUpSeconds));
    }

    Map<String, List<Double>> byUpstream() {
        return byUpstream;
    }
}
