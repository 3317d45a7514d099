package sedgeyoke.simulation;

import java.util.List;
import java.util.SplittableRandom;

/** Chooses an upstream uniformly at random. */
final class RandomPolicy extends BaselinePolicy {
    private final SplittableRandom random;

    RandomPolicy(Settings settings, long seed, Actions actions) {
        super(settings, actions);
        this.random = new SplittableRandom(seed);
    }

    @Override
    KnownUpstream choose(long now, List<KnownUpstream> candidates) {
        return candidates.get(random.nextInt(candidates.size()));
    }
}
