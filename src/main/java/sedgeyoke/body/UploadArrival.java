package sedgeyoke.body;

/**
 * Tells since when all of an upload may have arrived although part of it is unread in the socket's buffer, as is
 * possible while reading from the client is paused. If the length of the body is declared, this is exact. If it is not,
 * the body counts as complete while unread bytes wait in the socket and no more arrive: the end may be among them. Not
 * thread-safe: called on the event loop only. Times are in microseconds of the policy's clock.
 */
public final class UploadArrival {
    /** The time of arrival of an upload of which a part is known to be missing. */
    public static final long NOT_ARRIVED = Long.MAX_VALUE;

    private final long declaredBytes;
    /** Bytes of the body that were read. */
    private long bodyBytes;
    /** Bytes that had arrived on the connection at the last check, read or not. */
    private long arrivedBytes;

    private long lastCheckMicros;
    private long arrivedMicros = NOT_ARRIVED;

    /** Starts to observe an upload at {@code nowMicros}; {@code declaredBytes} is negative if no length is declared. */
    public UploadArrival(long declaredBytes, long nowMicros) {
        this.declaredBytes = declaredBytes;
        this.lastCheckMicros = nowMicros;
    }

    /** Adds bytes of the body that were read. */
    public void recordRead(long bytes) {
        bodyBytes += bytes;
    }

    /** The bytes of the body that were read. */
    public long bodyBytes() {
        return bodyBytes;
    }

    /**
     * Returns since when the upload may have arrived, or {@link #NOT_ARRIVED}. Call it at regular intervals: what has
     * arrived since the last call counts as having arrived directly after that call.
     *
     * @param readBytes the bytes that were read on the connection so far, including those of earlier requests
     * @param unreadBytes the bytes that wait in the socket's buffer; 0 if reading is not paused
     */
    public long check(long readBytes, long unreadBytes, long nowMicros) {
        boolean moreArrived = readBytes + unreadBytes > arrivedBytes;
        arrivedBytes = readBytes + unreadBytes;
        if (isLengthDeclared()) {
            if (bodyBytes + unreadBytes >= declaredBytes) {
                arrivedMicros = Math.min(arrivedMicros, lastCheckMicros);
            }
        } else if (unreadBytes == 0) {
            arrivedMicros = NOT_ARRIVED;
        } else if (moreArrived || arrivedMicros == NOT_ARRIVED) {
            arrivedMicros = lastCheckMicros;
        }
        lastCheckMicros = nowMicros;
        return arrivedMicros;
    }

    /** Returns when the upload had arrived, of which the last byte was read at {@code nowMicros}. */
    public long endRead(long readBytes, long nowMicros) {
        boolean arrivedAfterCheck = !isLengthDeclared() && readBytes > arrivedBytes;
        return arrivedAfterCheck ? nowMicros : Math.min(arrivedMicros, nowMicros);
    }

    private boolean isLengthDeclared() {
        return declaredBytes >= 0;
    }
}
