package sedgeyoke.body;

/**
 * Decides whether the rest of an upload is read from its client although the upstream takes no more for now. The time
 * of a request runs from its last byte, and a client whose kernel has taken that byte waits for the answer, although
 * the kernel still holds as much as its send buffer has room for. The balancer can only tell by reading it.
 */
public final class UploadReadAhead {
    /** The largest send buffer of a client's kernel: the default maximum of Linux ({@code net.ipv4.tcp_wmem}). */
    private static final int MAX_CLIENT_BUFFER_BYTES = 4 << 20;

    private final BodyLimits limits;
    private final long declaredBytes;

    /** Creates the decision for one upload; {@code declaredBytes} is negative if no length is declared. */
    public UploadReadAhead(BodyLimits limits, long declaredBytes) {
        this.limits = limits;
        this.declaredBytes = declaredBytes;
    }

    /**
     * Whether the client may have written all of the upload; false if uploads are not read ahead.
     *
     * @param readBytes the bytes of the body that were read
     * @param unreadBytes the bytes that wait in the socket's buffer
     */
    public boolean mayBeWritten(long readBytes, long unreadBytes) {
        return declaredBytes >= 0
                && limits.maxReadAheadBytes() > 0
                && restBytes(readBytes) - unreadBytes <= MAX_CLIENT_BUFFER_BYTES;
    }

    /** Whether the client may have written all of the upload, and its rest is short enough to be read. */
    public boolean mayReadRest(long readBytes, long unreadBytes) {
        return mayBeWritten(readBytes, unreadBytes) && restBytes(readBytes) <= limits.maxReadAheadBytes();
    }

    /** How many bytes of an upload with a declared length were not read yet. */
    public long restBytes(long readBytes) {
        return declaredBytes - readBytes;
    }
}
