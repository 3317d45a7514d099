package sedgeyoke.simulation;

import java.util.List;
import java.util.SplittableRandom;
import sedgeyoke.model.UpstreamModel;

/**
 * Sees the true state of all upstreams without delay, and chooses the one that would finish first, ties at random. No
 * real policy has this information; the results show how much a better policy could gain.
 */
final class OraclePolicy extends BaselinePolicy {
    private static final double TIE_BREAK = 1e-9;

    private final SplittableRandom random;
    private final SimulatedUpstreams upstreams;

    OraclePolicy(Settings settings, long seed, Actions actions, SimulatedUpstreams upstreams) {
        super(settings, actions);
        this.random = new SplittableRandom(seed);
        this.upstreams = upstreams;
    }

    @Override
    KnownUpstream choose(long now, List<KnownUpstream> candidates) {
        KnownUpstream best = null;
        double bestTime = 0;
        for (KnownUpstream candidate : candidates) {
            double time = relativeCompletionTime(upstreams.byId(candidate.id()));
            if (best == null || time < bestTime) {
                best = candidate;
                bestTime = time;
            }
        }
        return best;
    }

    /** Expected time to completion of a request, as a multiple of the mean work. */
    private double relativeCompletionTime(SimulatedUpstream upstream) {
        if (upstream == null || upstream.removed() || !upstream.model().acceptsRequests()) {
            return Double.MAX_VALUE;
        }
        UpstreamModel model = upstream.model();
        int cores = model.spec().cores();
        double ahead = Math.max(0, model.inFlight() + 1 - cores);
        return (ahead + cores) / model.currentCapacity() + TIE_BREAK * random.nextDouble();
    }
}
