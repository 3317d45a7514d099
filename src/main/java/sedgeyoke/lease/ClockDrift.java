package sedgeyoke.lease;

/**
 * A bound on the drift of clocks, and the safety margins that it requires for leases between processes. A process that
 * waits until another process's lease has expired waits for the upper bound of the lease's duration; the process that
 * holds the lease uses it for the lower bound only. Clocks are monotonic and may start at any value.
 *
 * @param ppm how many parts per million any clock may run fast or slow
 */
public record ClockDrift(long ppm) {
    /** The largest accepted drift. Real clocks drift far less, so a larger value is a configuration error. */
    public static final long MAX_PPM = 100_000;

    private static final double PARTS_PER_MILLION = 1e6;

    /**
     * Checks that the drift is in range.
     *
     * @throws IllegalArgumentException if the drift is negative or larger than {@link #MAX_PPM}
     */
    public ClockDrift {
        if (ppm < 0 || ppm > MAX_PPM) {
            throw new IllegalArgumentException("clock drift of " + ppm + " ppm is out of range: 0 to " + MAX_PPM);
        }
    }

    /** How long to wait by the local clock until at least {@code durationMicros} has passed, even if it runs fast. */
    public long upperBoundMicros(long durationMicros) {
        return (long) Math.ceil(durationMicros * (1 + ppm / PARTS_PER_MILLION));
    }

    /** A duration by the local clock in which at most {@code durationMicros} passes, even if the clock runs slow. */
    public long lowerBoundMicros(long durationMicros) {
        return (long) Math.floor(durationMicros * (1 - ppm / PARTS_PER_MILLION));
    }
}
