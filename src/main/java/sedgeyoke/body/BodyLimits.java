package sedgeyoke.body;

/**
 * Limits on bodies. Sizes are bytes in this process, kernel buffers apart; times are microseconds.
 *
 * @param streaming whether bodies longer than the ceiling are streamed; else they are rejected
 * @param ceiling the most that is buffered of one request in either direction
 * @param total the most that is buffered of all streamed bodies; further ones are rejected
 * @param leastRate the lowest rate of an upload, in bytes a second
 * @param rateWindow the window over which that rate is measured
 * @param longestUpload the longest time for an upload, at whatever rate
 * @param longestStill the longest time without progress of a response that has begun, or of a client that reads one
 * @param longestBody the largest body in either direction, in bytes
 * @param socketBuffer the buffer of the kernel for a socket and direction; 0 leaves it to the system
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
    private static final int MAX_READ = 16 * 1024;
    private static final int MAX_STREAMED_READ = 64 * 1024;
    /** The default of the HTTP/1.1 decoders. */
    private static final int DEFAULT_PART = 8 * 1024;

    /** The default: bodies of 64 KiB, 2 s for a request and for reading its response, and nothing streamed. */
    public static final BodyLimits PLATFORM =
            new BodyLimits(false, PLATFORM_REQUEST, 0, 0, 2_000_000, 2_000_000, 2_000_000, PLATFORM_REQUEST, 0);

    /**
     * The default where an admin endpoint is configured: bodies of 34 MiB in either direction, streamed; up to 64 KiB
     * are buffered, so that they can be sent again.
     */
    public static final BodyLimits OPERATED =
            new BodyLimits(true, 2 * PLATFORM_REQUEST, 32 << 20, 4_000, 2_500_000, 600_000_000, 3_000_000, 34 << 20, 0);

    /** Bytes that are buffered before a body must be streamed: one more read must still fit under the ceiling. */
    public int gathered() {
        return streaming ? ceiling - read() : ceiling;
    }

    /** The largest part of a body: all that a read brings, where bodies are streamed. */
    public int part() {
        return streaming ? read() : DEFAULT_PART;
    }

    /** The largest read: the larger it is, the fewer system calls a long body takes. */
    public int read() {
        return streaming ? Math.min(MAX_STREAMED_READ, ceiling / 2) : MAX_READ;
    }
}
