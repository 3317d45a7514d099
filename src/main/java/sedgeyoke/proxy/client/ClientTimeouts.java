package sedgeyoke.proxy.client;

import sedgeyoke.body.BodyLimits;
import sedgeyoke.proxy.common.TimeUnits;

/**
 * Decides how long a client connection may stay in each state. {@code elapsedMicros} is the time since it entered the
 * state, and {@code idle} is {@link ClientConnection#isIdle}. All times are microseconds.
 */
final class ClientTimeouts {
    /** Limit for the first complete request on a new connection, and for the rest of a partly received request. */
    private static final long REQUEST_MICROS = 2_600_000;
    /** Time from the last response to the close, in which the client can read why its connection is closed. */
    private static final long CLOSING_MICROS = 2_000_000;
    /** Keep-alive timeout. */
    private static final long IDLE_MICROS = 2_000_000;
    /** Keep-alive timeout where connections are scarce. */
    private static final long SHORT_IDLE_MICROS = 500_000;
    /** A client that connects for a request sends it at once; a connection that is silent for longer may be closed. */
    private static final long SILENT_MICROS = 100_000;

    /** The interval of looking for progress of a response that the client reads slowly. */
    private static final long PROGRESS_CHECK_MICROS = 250_000;

    private final long responseMicros;
    private final long maxResponseMicros;

    ClientTimeouts(BodyLimits limits) {
        this.responseMicros = limits.maxStallMicros();
        this.maxResponseMicros = limits.maxResponseMicros();
    }

    /** For the log: the keep-alive timeout in milliseconds. */
    long idleMillis() {
        return IDLE_MICROS / TimeUnits.MICROS_PER_MILLI;
    }

    /** For the log: the longest time that a client may take to receive a response, in seconds. */
    long maxResponseSeconds() {
        return maxResponseMicros / TimeUnits.MICROS_PER_SECOND;
    }

    /** Whether a partly received request must be rejected. */
    boolean requestExpired(long elapsedMicros) {
        return elapsedMicros > REQUEST_MICROS;
    }

    /** Whether the connection must be closed because its client sends nothing, reads nothing or does not disconnect. */
    boolean mustClose(ClientConnectionState state, boolean idle, long elapsedMicros) {
        return (state == ClientConnectionState.NEW && elapsedMicros > REQUEST_MICROS)
                || (idle && elapsedMicros > IDLE_MICROS)
                || (state == ClientConnectionState.WRITING && elapsedMicros > responseMicros)
                || (state == ClientConnectionState.CLOSING && elapsedMicros > CLOSING_MICROS);
    }

    /** Whether a client takes too long to receive a response, although it makes progress. */
    boolean responseExpired(ClientConnectionState state, long writingMicros) {
        return state == ClientConnectionState.WRITING && writingMicros > maxResponseMicros;
    }

    /** Whether to look if the client still reads its response. */
    boolean mustCheckProgress(ClientConnectionState state, long elapsedMicros, long sinceLastCheckMicros) {
        return state == ClientConnectionState.WRITING
                && (elapsedMicros > responseMicros
                        || Math.min(elapsedMicros, sinceLastCheckMicros) > PROGRESS_CHECK_MICROS);
    }

    /** Whether a client connected some time ago and has sent nothing. */
    boolean isSilent(ClientConnectionState state, long elapsedMicros) {
        return state == ClientConnectionState.NEW && elapsedMicros > SILENT_MICROS;
    }

    /**
     * Whether a client has not disconnected after its last response. Before that time the response may still be on its
     * way, and closing a socket with unread input would reset the connection before the client has read the response.
     */
    boolean isLingering(ClientConnectionState state, long elapsedMicros) {
        return state == ClientConnectionState.CLOSING && elapsedMicros > SILENT_MICROS;
    }

    /** Whether an idle connection may be closed while connections are scarce. */
    boolean exceedsShortIdle(long elapsedMicros) {
        return elapsedMicros > SHORT_IDLE_MICROS;
    }

    /** Whether the connection may be closed to make room for a new one. */
    boolean mayMakeRoom(ClientConnectionState state, boolean idle, long elapsedMicros) {
        return isLingering(state, elapsedMicros)
                || isSilent(state, elapsedMicros)
                || (idle && exceedsShortIdle(elapsedMicros));
    }
}
