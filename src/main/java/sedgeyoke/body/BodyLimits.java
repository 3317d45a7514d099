package sedgeyoke.body;

/**
 * Limits on the memory, length and duration of bodies. Sizes are in bytes and do not include kernel buffers, except for
 * {@link #socketBufferBytes}; times are in microseconds.
 *
 * @param streaming whether bodies of more than {@link #maxUnstreamedBytes} are streamed; if not, they are rejected
 * @param maxBufferedBytes the most that is buffered of one body, in each direction
 * @param maxTotalBufferedBytes the most that is reserved for what all peers together make the process hold; beyond it
 *     requests with a body are rejected
 * @param minUploadBytesPerSecond the lowest rate that an upload may have
 * @param uploadRateWindowMicros the window over which that rate is measured
 * @param maxUploadMicros the longest time that an upload may take, whatever its rate
 * @param maxStallMicros the longest time in which a client reads nothing of a response
 * @param maxBodyBytes the largest body in either direction
 * @param socketBufferBytes the kernel buffer of a socket in each direction; 0 for the system's default
 * @param maxReadAheadBytes the most of an upload that is read although its upstream takes no more, beyond
 *     {@link #maxBufferedBytes} and as far as the total allows; see {@link UploadReadAhead}
 * @param maxUpstreamStallMicros the longest time in which an upstream sends nothing of a response that has begun
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
        int socketBufferBytes,
        int maxReadAheadBytes,
        long maxUpstreamStallMicros) {
    private static final int KIB = 1 << 10;
    private static final int MIB = 1 << 20;
    private static final long MICROS_PER_SECOND = 1_000_000;

    private static final int PLATFORM_BODY_BYTES = 64 * KIB;
    private static final int UNSTREAMED_READ_BYTES = 16 * KIB;
    private static final int MAX_STREAMED_READ_BYTES = 64 * KIB;
    /** Small, as the kernel's buffers keep a connection busy while the balancer reads more. */
    private static final int MAX_UNWRITTEN_BYTES = 8 * KIB;

    /** Longer than any partition of the network that the platform describes (STANDING: 6 s). */
    private static final long MAX_SILENCE_MICROS = 10 * MICROS_PER_SECOND;

    private static final long MAX_RESPONSE_MICROS = 3_600 * MICROS_PER_SECOND;
    /** The default of the HTTP/1.1 decoders. */
    private static final int UNSTREAMED_PART_BYTES = 8 * KIB;

    /**
     * Without an admin endpoint: bodies of at most 64 KiB, not streamed; 2 s for an upload, and 2 s without progress of
     * a response.
     */
    public static final BodyLimits PLATFORM = new BodyLimits(
            false,
            PLATFORM_BODY_BYTES,
            32 * MIB,
            0,
            2 * MICROS_PER_SECOND,
            2 * MICROS_PER_SECOND,
            2 * MICROS_PER_SECOND,
            PLATFORM_BODY_BYTES,
            0,
            0,
            2 * MICROS_PER_SECOND);

    /**
     * The default if an admin endpoint is configured: bodies of at most 34 MiB in either direction are streamed; those
     * of up to 64 KiB are buffered completely, so that they can be sent again.
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
            0,
            12 * MIB,
            MAX_SILENCE_MICROS);

    /** Returns the longest time in microseconds that a client may take to receive a response, whatever its progress. */
    public long maxResponseMicros() {
        return Math.max(MAX_RESPONSE_MICROS, maxUploadMicros);
    }

    /** Returns the longest body that is not streamed; with streaming, the buffer has room for one more read. */
    public int maxUnstreamedBytes() {
        return streaming ? maxBufferedBytes - maxReadBytes() : maxBufferedBytes;
    }

    /** Returns the largest part of a body that a decoder passes on; with streaming, as much as one read returns. */
    public int maxPartBytes() {
        return streaming ? maxReadBytes() : UNSTREAMED_PART_BYTES;
    }

    /**
     * Returns the size of the largest read of a socket. With streaming, a read may be held twice: in its buffer, part
     * of which is being written, and in a copy of its remaining parts.
     */
    public int maxSocketReadBytes() {
        return streaming ? Math.min(MAX_STREAMED_READ_BYTES, maxBufferedBytes / 4) : UNSTREAMED_READ_BYTES;
    }

    /** Returns how many bytes of a streamed body may wait to be written before no more is read. */
    public int maxUnwrittenBytes() {
        return Math.min(MAX_UNWRITTEN_BYTES, maxBufferedBytes / 4);
    }

    /** Returns the room for what is read after a body has turned out to be too long to be buffered completely. */
    public int maxReadBytes() {
        return streaming ? Math.min(MAX_STREAMED_READ_BYTES, maxBufferedBytes / 2) : UNSTREAMED_READ_BYTES;
    }
}
