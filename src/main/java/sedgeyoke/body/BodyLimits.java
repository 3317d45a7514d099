package sedgeyoke.body;

/**
 * Limits on bodies. Sizes are bytes in this process, kernel buffers apart; times are microseconds.
 *
 * @param streaming whether bodies longer than the ceiling are passed through at all; else they are refused
 * @param ceiling the most that a request may hold here in either direction
 * @param total the most that all long requests may hold together; further ones are refused
 * @param leastRate bytes a second that a long upload must bring
 * @param rateWindow over which that rate counts
 * @param longestUpload a body may take that long, however fast it comes
 * @param longestStill an answer that has begun, or a client that reads one, may stand still for so long
 * @param longestBody bytes of a body in either direction
 * @param socketBuffer what the kernel is asked to hold for a socket and direction; 0 leaves it to the system
 */
public record BodyLimits(
        boolean streaming,
        int ceiling,
        long total,
        long leastRate,
        long rateWindow,
        long longestUpload,
        long longestStill,
        long longestBody,
        int socketBuffer) {
    private static final int PLATFORM_REQUEST = 64 * 1024;
    private static final int MOST_READ = 16 * 1024;
    private static final int MOST_LONG_READ = 64 * 1024;
    /** What decoders of HTTP/1.1 give out at once, as they come. */
    private static final int USUAL_PART = 8 * 1024;

    /** The platform's: bodies of 64 KiB, 2 s for a request and for reading its answer, and nothing passed through. */
    public static final BodyLimits PLATFORM =
            new BodyLimits(false, PLATFORM_REQUEST, 0, 0, 2_000_000, 2_000_000, 2_000_000, PLATFORM_REQUEST, 0);

    /**
     * The platform's where operators have a door (DAYS, "Size"): 32 MB in either direction, many at once; what fits
     * into 64 KiB is gathered whole, so that it can be sent again.
     */
    public static final BodyLimits OPERATED =
            new BodyLimits(true, 2 * PLATFORM_REQUEST, 32 << 20, 4_000, 2_500_000, 600_000_000, 3_000_000, 34 << 20, 0);

    /** Bytes that are gathered before a request goes on in parts: one more read must still fit under the ceiling. */
    public int gathered() {
        return streaming ? ceiling - read() : ceiling;
    }

    /** The most that is passed on in one part: all that a read brings, where bodies go on as they come. */
    public int part() {
        return streaming ? read() : USUAL_PART;
    }

    /** The most that one read may bring: the larger, the fewer calls of the kernel a long body takes. */
    public int read() {
        return streaming ? Math.min(MOST_LONG_READ, ceiling / 2) : MOST_READ;
    }
}
