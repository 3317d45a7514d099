package sedgeyoke.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Measures how long a started upstream takes to receive its share of the traffic: until the first sample at which the
 * requests that it received over a window reach {@link #SUFFICIENT_SHARE} of the share that its full capacity warrants.
 */
final class SlowStartMeasure {
    static final long INTERVAL_MICROS = 250_000;
    private static final int WINDOW_SAMPLES = 4;
    /** Avoids a division by zero where no upstream runs. */
    private static final double MIN_CAPACITY = 1e-9;
    /** An upstream counts as warm once it gets this part of the traffic that its full capacity warrants. */
    private static final double SUFFICIENT_SHARE = 0.8;

    private final SimulationContext context;
    private final SimulatedUpstreams upstreams;
    private final Map<StartKey, SlowStart> starts = new LinkedHashMap<>();
    private final Map<String, ReceivedWindow> windows = new LinkedHashMap<>();

    /** Identifies one process of an upstream. */
    private record StartKey(String upstream, long launchedAtMicros) {
        static StartKey of(SimulatedUpstream upstream) {
            return new StartKey(upstream.id(), upstream.model().launchedAtMicros());
        }
    }

    /** One slow start, and when the upstream received its share. */
    private static final class SlowStart {
        private static final long NOT_YET = Long.MAX_VALUE;

        private final long launchedAtMicros;
        private long completedAtMicros = NOT_YET;

        SlowStart(long launchedAtMicros) {
            this.launchedAtMicros = launchedAtMicros;
        }
    }

    /** An upstream's request counts at the latest samples, newest first. */
    private static final class ReceivedWindow {
        private final long[] counts = new long[WINDOW_SAMPLES + 1];

        void add(long count) {
            System.arraycopy(counts, 0, counts, 1, WINDOW_SAMPLES);
            counts[0] = count;
        }

        /** Requests received over the window. */
        long received() {
            return counts[0] - counts[WINDOW_SAMPLES];
        }
    }

    SlowStartMeasure(SimulationContext context, SimulatedUpstreams upstreams) {
        this.context = context;
        this.upstreams = upstreams;
    }

    /** Takes a sample; must be called every {@link #INTERVAL_MICROS}. */
    void sample() {
        double totalReceived = 0;
        double totalCapacity = 0;
        for (SimulatedUpstream upstream : upstreams.running()) {
            ReceivedWindow window = windows.computeIfAbsent(upstream.id(), id -> new ReceivedWindow());
            window.add(upstream.requestsReceived());
            if (!upstream.model().draining()) {
                totalReceived += window.received();
                totalCapacity += upstream.model().spec().capacity();
            }
            long launchedAtMicros = upstream.model().launchedAtMicros();
            if (launchedAtMicros > SimulationContext.START) {
                starts.computeIfAbsent(StartKey.of(upstream), key -> new SlowStart(launchedAtMicros));
            }
        }
        for (SimulatedUpstream upstream : upstreams.running()) {
            double capacity = upstream.model().spec().capacity();
            completeIfWarm(upstream, totalReceived * capacity / Math.max(totalCapacity, MIN_CAPACITY));
        }
    }

    private void completeIfWarm(SimulatedUpstream upstream, double fairShare) {
        SlowStart start = starts.get(StartKey.of(upstream));
        long now = context.events.now();
        boolean fullWindow = start != null && now - start.launchedAtMicros >= WINDOW_SAMPLES * INTERVAL_MICROS;
        if (fullWindow
                && start.completedAtMicros == SlowStart.NOT_YET
                && fairShare > 0
                && windows.get(upstream.id()).received() >= SUFFICIENT_SHARE * fairShare) {
            start.completedAtMicros = now;
        }
    }

    /** The duration of each slow start in seconds; an incomplete one counts up to now. */
    List<Double> durationsSeconds() {
        List<Double> durations = new ArrayList<>();
        for (SlowStart start : starts.values()) {
            long endMicros = Math.min(start.completedAtMicros, context.events.now());
            durations.add((endMicros - start.launchedAtMicros) / 1e6);
        }
        return durations;
    }
}
