package sedgeyoke.proxy.common;

/**
 * Conversion factors between units of time. Times are microseconds; milliseconds are used in headers, file keys and log
 * lines.
 */
public final class TimeUnits {
    /** Microseconds in a millisecond. */
    public static final long MICROS_PER_MILLI = 1_000;
    /** Microseconds in a second. */
    public static final long MICROS_PER_SECOND = 1_000_000;
    /** Nanoseconds in a microsecond. */
    public static final long NANOS_PER_MICRO = 1_000;

    private TimeUnits() {}
}
