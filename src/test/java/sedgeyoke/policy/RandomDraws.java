package sedgeyoke.policy;

import java.util.SplittableRandom;

/** The one sequence of random numbers of a run. Any draw more or less changes all that follow. */
final class RandomDraws {
    private final SplittableRandom random;

    RandomDraws(long seed) {
        this.random = new SplittableRandom(seed);
    }

    int nextInt(int bound) {
        return random.nextInt(bound);
    }

    long nextLong(long bound) {
        return random.nextLong(bound);
    }

    double nextDouble() {
        return random.nextDouble();
    }

    boolean chance(double share) {
        return random.nextDouble() < share;
    }

    long oneOf(long... values) {
        return values[random.nextInt(values.length)];
    }
}
