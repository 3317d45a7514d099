package sedgeyoke.body;

/**
 * Limits on the memory, the length and the duration of bodies. Sizes are bytes in this process, kernel buffers apart;
 * times are microseconds.
 *
 * @param streaming whether bodies of more than {@link #maxUnstreamedBytes} are streamed; else they are rejected
 * @param maxBufferedBytes the most that is buffered of one request in either direction
 * @param maxTotalBufferedBytes the most that is buffered of all streamed bodies; further ones are rejected
 * @param minUploadBytesPerSecond the lowest rate of an upload
 * @param uploadRateWindowMicros the window over which that rate is measured
 * @param maxUploadMicros the longest time for an upload, at whatever rate
 * @param maxStallMicros the longest time without progress of a response that has begun, or of a client that reads one
 * @param maxBodyBytes the largest body in either direction
 * @param socketBufferBytes the buffer of the kernel for a socket and direction; 0 leaves it to the system
 */
public record BodyLimits(
        boolean streaming,
        int maxBufferedBytes,
        long maxTotalBufferedBytes,
        long minUploadBytesPerSecond,
        long uploadRateWindowMicros,
        long maxUploadMicros,
        long maxStallMicros,
        long maxBodyBytes,
        int socketBufferBytes) {
    private static final int KIB = 1 << 10;
    private static final int MIB = 1 << 20;
    private static final long MICROS_PER_SECOND = 1_000_000;

    private static final int PLATFORM_BODY_BYTES = 64 * KIB;
    private static final int UNSTREAMED_READ_BYTES = 16 * KIB;
    private static final int MAX_STREAMED_READ_BYTES = 64 * KIB;
    /** The default of the HTTP/1.1 decoders. */
    private static final int UNSTREAMED_PART_BYTES = 8 * KIB;

    /** The default: bodies of 64 KiB, 2 s for a request and for reading its response, and nothing streamed. */
    public static final BodyLimits PLATFORM = new BodyLimits(
            false,
            PLATFORM_BODY_BYTES,
            0,
            0,
            2 * MICROS_PER_SECOND,
            2 * MICROS_PER_SECOND,
            2 * MICROS_PER_SECOND,
            PLATFORM_BODY_BYTES,
            0);

    /**
     * The default where an admin endpoint is configured: bodies of 34 MiB in either direction, streamed; up to 64 KiB
     * are buffered, so that they can be sent again.
     */
    public static final BodyLimits OPERATED = new BodyLimits(
            true,
            2 * PLATFORM_BODY_BYTES,
            32 * MIB,
            4_000,
            2_500_000,
            600 * MICROS_PER_SECOND,
            3 * MICROS_PER_SECOND,
            34 * MIB,
            0);

    /** The longest body that need not be streamed: one more read must fit where bodies are streamed. */
    public int maxUnstreamedBytes() {
        return streaming ? maxBufferedBytes - maxReadBytes() : maxBufferedBytes;
    }

    /** The largest part of a body that a decoder passes on: all that a read brings, where bodies are streamed. */
    public int maxPartBytes() {
        return streaming ? maxReadBytes() : UNSTREAMED_PART_BYTES;
    }

    /** The largest read: the larger it is, the fewer system calls a long body takes. */
    public int maxReadBytes() {
        return streaming ? Math.min(MAX_STREAMED_READ_BYTES, maxBufferedBytes / 2) : UNSTREAMED_READ_BYTES;
    }
}
