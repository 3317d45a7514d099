package sedgeyoke.policy;

import java.util.SplittableRandom;

/** Randomises periods, so that balancers which started together do not act in step. */
final class Jitter {
    private final SplittableRandom random;

    Jitter(SplittableRandom random) {
        this.random = random;
    }

    /** A random time from 0.5 to 1.5 times {@code meanMicros}, which is its mean. */
    long around(long meanMicros) {
        return meanMicros / 2 + random.nextLong(meanMicros);
    }
}
