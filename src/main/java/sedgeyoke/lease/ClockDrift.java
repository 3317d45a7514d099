package sedgeyoke.lease;

/**
 * The bound on how far clocks drift, and what follows from it for a duration that two clocks measure. A process that
 * waits for something on another clock to expire waits for the upper bound; a process that uses a lease uses it for the
 * lower bound only. Clocks are monotonic and may start at any value.
 *
 * @param ppm how many parts per million any clock may run fast or slow
 */
public record ClockDrift(long ppm) {
    /** The largest drift that is accepted; no real clock comes near it, so that a larger value is a mistake. */
    public static final long MAX_PPM = 100_000;

    private static final double PARTS_PER_MILLION = 1e6;

    /**
     * Checks the bound.
     *
     * @throws IllegalArgumentException if it is negative or larger than {@link #MAX_PPM}
     */
    public ClockDrift {
        if (ppm < 0 || ppm > MAX_PPM) {
            throw new IllegalArgumentException("drift of " + ppm + " ppm: 0 to " + MAX_PPM);
        }
    }

    /** The duration after which {@code durationMicros} has passed on every clock. */
    public long upperBoundMicros(long durationMicros) {
        return (long) Math.ceil(durationMicros * (1 + ppm / PARTS_PER_MILLION));
    }

    /** The duration within which {@code durationMicros} has passed on no clock. */
    public long lowerBoundMicros(long durationMicros) {
        return (long) Math.floor(durationMicros * (1 - ppm / PARTS_PER_MILLION));
    }
}
