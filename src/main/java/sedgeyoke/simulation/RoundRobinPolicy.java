package sedgeyoke.simulation;

import java.util.List;
import java.util.SplittableRandom;

/** Chooses each upstream in turn. The first one is random, so that forwarders are not synchronised. */
final class RoundRobinPolicy extends BaselinePolicy {
    private static final int MAX_START = 1 << 16;

    private int next;

    RoundRobinPolicy(Settings settings, long seed, Actions actions) {
        super(settings, actions);
        this.next = new SplittableRandom(seed).nextInt(MAX_START);
    }

    @Override
    KnownUpstream choose(long now, List<KnownUpstream> candidates) {
        return candidates.get(Math.floorMod(next++, candidates.size()));
    }
}
