package sedgeyoke.simulation;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import sedgeyoke.model.RequestClassModel;

/**
 * Draws when clients start operations, and which ones: a Poisson process of bursts whose rate follows the scenario's
 * load curve. It has a random number generator of its own, so the same seed gives the same arrivals whatever their
 * results.
 */
final class ArrivalProcess {
    private static final double MIN_RATE = 1e-6;

    private final SimulationContext context;
    private final Scenario.Traffic traffic;
    private final SplittableRandom random;
    private final double[] zoneWeights;
    /** Operations a second at a load factor of 1 and zone weights that sum to 1. */
    private final double baseRate;

    private long startedAtMicros;
    /** Start of the next burst; not rounded, or rates of tens of thousands a second would be some percent too high. */
    private double nextArrivalMicros;

    /**
     * The operation that a client starts.
     *
     * @param classIndex index of the request class
     * @param zone the client's zone
     * @param key affinity key; null for requests without keys
     */
    record Arrival(int classIndex, int zone, String key) {}

    ArrivalProcess(SimulationContext context, SplittableRandom random) {
        this.context = context;
        this.random = random;
        this.traffic = context.scenario.traffic();
        this.zoneWeights =
                traffic.zoneShare().stream().mapToDouble(Double::doubleValue).toArray();
        this.baseRate = traffic.load() * context.scenario.site().capacity();
    }

    void start() {
        startedAtMicros = context.events.now();
        nextArrivalMicros = startedAtMicros;
    }

    void multiplyZoneLoad(int zone, double factor) {
        zoneWeights[zone] *= factor;
    }

    /** The sum of all zones' weights. */
    double totalWeight() {
        return Arrays.stream(zoneWeights).sum();
    }

    int burstSize() {
        return Math.max(1, traffic.burst());
    }

    /** Draws the time from now to the next burst. */
    long drawDelayToNextBurst(double totalWeight) {
        double burstsPerSecond = baseRate * loadFactor() * totalWeight / burstSize();
        nextArrivalMicros += -StrictMath.log(1 - random.nextDouble()) * 1e6 / Math.max(burstsPerSecond, MIN_RATE);
        return Math.round(nextArrivalMicros) - context.events.now();
    }

    /** The value of the load curve at the current time, interpolated linearly between its points. */
    private double loadFactor() {
        List<Double> points = traffic.loadCurve();
        if (points.size() < 2) {
            return points.isEmpty() ? 1 : points.get(0);
        }
        double elapsedSeconds = (context.events.now() - startedAtMicros) / 1e6;
        double position = elapsedSeconds / context.scenario.seconds() * (points.size() - 1);
        int left = (int) Math.min(points.size() - 2, position);
        double fraction = Math.min(1, position - left);
        return points.get(left) + fraction * (points.get(left + 1) - points.get(left));
    }

    /** Draws the next operation, with the total zone weight that was current when its burst was scheduled. */
    Arrival drawArrival(double totalWeight) {
        int classIndex = drawClass();
        int zone = drawZone(totalWeight);
        return new Arrival(classIndex, zone, drawKey());
    }

    private int drawClass() {
        List<RequestClassModel> classes = context.scenario.site().classes();
        double remaining = random.nextDouble();
        int index = 0;
        while (index < classes.size() - 1) {
            remaining -= classes.get(index).share();
            if (remaining < 0) {
                break;
            }
            index++;
        }
        return index;
    }

    private int drawZone(double totalWeight) {
        double remaining = random.nextDouble() * totalWeight;
        int zone = 0;
        while (zone < zoneWeights.length - 1) {
            remaining -= zoneWeights[zone];
            if (remaining < 0) {
                break;
            }
            zone++;
        }
        return zone;
    }

    private String drawKey() {
        if (traffic.keys() <= 0) {
            return null;
        }
        return "o" + (int) (traffic.keys() * StrictMath.pow(random.nextDouble(), traffic.keySkew()));
    }
}
