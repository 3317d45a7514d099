package sedgeyoke.simulation;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Power of two choices: of two random upstreams, chooses the one with fewer of this forwarder's requests in flight. M.
 * Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE Transactions on Parallel and Distributed
 * Systems 12(10), 2001.
 */
final class TwoChoicesPolicy extends BaselinePolicy {
    private final SplittableRandom random;

    TwoChoicesPolicy(Settings settings, long seed, Actions actions) {
        super(settings, actions);
        this.random = new SplittableRandom(seed);
    }

    @Override
    KnownUpstream choose(long now, List<KnownUpstream> candidates) {
        KnownUpstream first = candidates.get(random.nextInt(candidates.size()));
        KnownUpstream second = candidates.get(random.nextInt(candidates.size()));
        return second.inFlight() < first.inFlight() ? second : first;
    }
}
