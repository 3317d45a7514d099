package sedgeyoke.proxy.common;

/** How many microseconds, the balancer's unit of time, a longer unit has. */
public final class Micros {
    /** Microseconds in a millisecond. */
    public static final long PER_MILLI = 1_000;

    private Micros() {}
}
