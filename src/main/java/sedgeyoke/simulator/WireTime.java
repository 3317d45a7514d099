package sedgeyoke.simulator;

/** Times of the wire and of the settings, which are seconds there and microseconds here. */
final class WireTime {
    private static final double MICROS_PER_SECOND = 1e6;

    private WireTime() {}

    static long micros(double seconds) {
        return Math.round(seconds * MICROS_PER_SECOND);
    }
}
