package sedgeyoke.simulation;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Prequal: asynchronous probes, and the hot-cold lexicographic rule. Of the probes in a small pool, those with more
 * requests in flight than a quantile are hot. The cold probe with the lowest latency is chosen; if all are hot, the one
 * with the fewest requests in flight. B. Wydrowski and others, "Load is not what you should balance: Introducing
 * Prequal", NSDI 2024, sections 3 and 4. Probes are health checks here.
 */
final class PrequalPolicy extends BaselinePolicy {
    private static final int POOL_SIZE = 16;
    private static final int PROBES_PER_REQUEST = 3;
    /** The quantile of requests in flight above which a probe is hot. */
    private static final double HOT_QUANTILE = 0.84;

    private static final long MAX_PROBE_AGE_MICROS = 1_000_000;
    private static final int MAX_PROBE_USES = 3;
    /** The number of recent probes from which the quantile is computed. */
    private static final int QUANTILE_WINDOW = 128;

    private final SplittableRandom random;
    private final List<Probe> pool = new ArrayList<>();
    private final double[] recentInFlight = new double[QUANTILE_WINDOW];
    private int probesReceived;

    /** The answer to one probe. */
    private static final class Probe {
        private final KnownUpstream upstream;
        private final long receivedAtMicros;
        private final double latency;
        private double inFlight;
        private int uses;

        Probe(KnownUpstream upstream, long receivedAtMicros, double inFlight, double latency) {
            this.upstream = upstream;
            this.receivedAtMicros = receivedAtMicros;
            this.inFlight = inFlight;
            this.latency = latency;
        }

        boolean isExpired(long now) {
            return now - receivedAtMicros > MAX_PROBE_AGE_MICROS || uses >= MAX_PROBE_USES;
        }

        boolean isBetterThan(Probe other, double hotThreshold) {
            boolean hot = inFlight > hotThreshold;
            boolean otherHot = other.inFlight > hotThreshold;
            if (hot != otherHot) {
                return otherHot;
            }
            return hot ? inFlight < other.inFlight : latency < other.latency;
        }

        /** Counts a request sent to the upstream because of this probe. */
        void use() {
            uses++;
            inFlight++;
        }
    }

    PrequalPolicy(Settings settings, long seed, Actions actions) {
        super(settings, actions);
        this.random = new SplittableRandom(seed);
    }

    @Override
    void requestArrived(long now, List<KnownUpstream> upstreams) {
        for (int i = 0; i < PROBES_PER_REQUEST && !upstreams.isEmpty(); i++) {
            actions()
                    .healthCheck(upstreams.get(random.nextInt(upstreams.size())).id());
        }
    }

    @Override
    void healthCheckAnswered(long now, KnownUpstream upstream, LoadReport load) {
        if (pool.size() == POOL_SIZE) {
            pool.remove(0);
        }
        pool.add(new Probe(upstream, now, load.active(), load.serviceTimeMicros() * (1 + load.active())));
        recentInFlight[probesReceived++ % QUANTILE_WINDOW] = load.active();
    }

    @Override
    KnownUpstream choose(long now, List<KnownUpstream> candidates) {
        pool.removeIf(probe -> probe.isExpired(now));
        double hotThreshold = hotThreshold();
        Probe best = null;
        for (Probe probe : pool) {
            if (candidates.contains(probe.upstream) && (best == null || probe.isBetterThan(best, hotThreshold))) {
                best = probe;
            }
        }
        if (best == null) {
            return candidates.get(random.nextInt(candidates.size()));
        }
        best.use();
        return best.upstream;
    }

    private double hotThreshold() {
        int known = Math.min(probesReceived, QUANTILE_WINDOW);
        if (known == 0) {
            return Double.POSITIVE_INFINITY;
        }
        double[] sorted = Arrays.copyOf(recentInFlight, known);
        Arrays.sort(sorted);
        return sorted[(int) (HOT_QUANTILE * (known - 1))];
    }
}
