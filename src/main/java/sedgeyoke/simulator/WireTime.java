package sedgeyoke.simulator;

/** Converts times from seconds, as in the JSON input and the settings, to microseconds, as in the policy. */
final class WireTime {
    private static final double MICROS_PER_SECOND = 1e6;

    private WireTime() {}

    static long micros(double seconds) {
        return Math.round(seconds * MICROS_PER_SECOND);
    }
}
