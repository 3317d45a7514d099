package sedgeyoke.simulation;

import java.util.List;
import java.util.SplittableRandom;

/** Chooses each upstream in turn. It starts at a random one, so that forwarders do not choose in step. */
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
