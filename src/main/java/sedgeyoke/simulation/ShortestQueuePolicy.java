package sedgeyoke.simulation;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Join the shortest queue, as seen by one forwarder: chooses the upstream with the fewest of this forwarder's requests
 * in flight, ties at random.
 */
final class ShortestQueuePolicy extends BaselinePolicy {
    private final SplittableRandom random;

    ShortestQueuePolicy(Settings settings, long seed, Actions actions) {
        super(settings, actions);
        this.random = new SplittableRandom(seed);
    }

    @Override
    KnownUpstream choose(long now, List<KnownUpstream> candidates) {
        KnownUpstream best = null;
        int ties = 0;
        for (KnownUpstream candidate : candidates) {
            if (best == null || candidate.inFlight() < best.inFlight()) {
                best = candidate;
                ties = 1;
            } else if (candidate.inFlight() == best.inFlight() && random.nextInt(++ties) == 0) {
                best = candidate;
            }
        }
        return best;
    }
}
