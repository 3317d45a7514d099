package sedgeyoke.lease;

/**
 * How far clocks may drift, and what that makes of a time that two of them measure. Whoever counts on what another one
 * holds takes it for longer; whoever uses what was lent takes it for shorter. Times are microseconds of the clock of
 * the side that asks; clocks are monotonic and may start anywhere.
 */
public record ClockDrift(long ppm) {
    private static final double PARTS_PER_MILLION = 1e6;
    /** More than any clock that is worth the name; a larger figure is a slip of whoever set it. */
    public static final long MAX_PPM = 100_000;

    /** {@code ppm}: parts per million that any clock may run fast or slow. */
    public ClockDrift {
        if (ppm < 0 || ppm > MAX_PPM) {
            throw new IllegalArgumentException("drift of " + ppm + " ppm: 0 to " + MAX_PPM);
        }
    }

    /** So much time on any clock is over, whoever measured it, once this much is over here. */
    public long upperBound(long time) {
        return (long) Math.ceil(time * (1 + ppm / PARTS_PER_MILLION));
    }

    /** While no more than this is over here, so much time is over on no clock. */
    public long lowerBound(long time) {
        return (long) Math.floor(time * (1 - ppm / PARTS_PER_MILLION));
    }
}
