package sedgeyoke.policy;

import java.util.SplittableRandom;

/** Spreads periods, so that balancers which started together do not act in step. */
final class Jitter {
    private final SplittableRandom random;

    Jitter(SplittableRandom random) {
        this.random = random;
    }

    /** A time from a half to one and a half of this one, whose mean it is. */
    long around(long meanMicros) {
        return meanMicros / 2 + random.nextLong(meanMicros);
    }
}
