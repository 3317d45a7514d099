package sedgeyoke.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * How soon nodes that started cold get their share of the traffic: the first moment at which one has been sent, over a
 * second, so large a part of what its full capacity is due. Looked at four times a second.
 */
final class SlowStartMeasure {
    static final long EVERY = 250_000;
    private static final int WINDOW = 4;
    private static final double ENOUGH = 0.8;

    private final SimulationContext world;
    private final SimulatedUpstreams fleet;
    private final Map<String, Start> starts = new LinkedHashMap<>();
    private final Map<String, long[]> before = new LinkedHashMap<>();

    /** One cold start. */
    private static final class Start {
        final long at;
        long reached = Long.MAX_VALUE;

        Start(long at) {
            this.at = at;
        }
    }

    SlowStartMeasure(SimulationContext world, SimulatedUpstreams fleet) {
        this.world = world;
        this.fleet = fleet;
    }

    void look() {
        double sent = 0;
        double capacity = 0;
        Map<String, Double> own = new LinkedHashMap<>();
        for (SimulatedUpstream m : fleet.running()) {
            long[] last = before.computeIfAbsent(m.id(), id -> new long[WINDOW + 1]);
            System.arraycopy(last, 0, last, 1, WINDOW);
            last[0] = m.arrived;
            own.put(m.id(), (double) (last[0] - last[WINDOW]));
            if (!m.model.draining()) {
                sent += last[0] - last[WINDOW];
                capacity += m.model.spec().capacity();
            }
            if (m.model.launchedAt() > SimulationContext.START) {
                starts.computeIfAbsent(m.id() + "@" + m.model.launchedAt(), k -> new Start(m.model.launchedAt()));
            }
        }
        for (SimulatedUpstream m : fleet.running()) {
            Start s = starts.get(m.id() + "@" + m.model.launchedAt());
            double due = sent * m.model.spec().capacity() / Math.max(capacity, 1e-9);
            boolean window = s != null && world.time.now() - s.at >= WINDOW * EVERY;
            if (window && s.reached == Long.MAX_VALUE && due > 0 && own.get(m.id()) >= ENOUGH * due) {
                s.reached = world.time.now();
            }
        }
    }

    /** Seconds from each start to its share; one that had not got it yet counts up to the end. */
    List<Double> seconds() {
        List<Double> all = new ArrayList<>();
        starts.values().forEach(s -> all.add((Math.min(s.reached, world.time.now()) - s.at) / 1e6));
        return all;
    }
}
