package sedgeyoke.proxy.client;

import java.util.Comparator;
import java.util.List;
import sedgeyoke.proxy.exchange.RejectionReason;

/**
 * Closes connections that their clients leave unused. An idle connection is closed
 *
 * <ul>
 *   <li>after the keep-alive timeout ({@link #closeTimedOut}),
 *   <li>after a shorter one where many are open, the longest idle first ({@link #closeExcessIdle}),
 *   <li>or where hardly another connection could be accepted ({@link #makeRoom}),
 *   <li>and at a graceful shutdown as soon as no further request is accepted ({@link #closeIdleForShutdown}); before
 *       that the timeouts above apply.
 * </ul>
 *
 * <p>The same methods end connections whose client sends nothing, sends its request too slowly, does not read its
 * response, or does not leave after the last one. Whether a response ends its connection is up to
 * {@link HttpFrontend#allowsKeepAlive}. Event loop only; times are microseconds of the policy's clock.
 */
final class ClientConnectionCloser {
    private final ClientConnections connections;
    private final ClientTimeouts timeouts;

    ClientConnectionCloser(ClientConnections connections, ClientTimeouts timeouts) {
        this.connections = connections;
        this.timeouts = timeouts;
    }

    // ---- Timeouts ------------------------------------------------------------------------------------

    /** Rejects requests that come too slowly, and closes connections whose state has timed out. */
    void closeTimedOut(long nowMicros) {
        connections.copy().forEach(connection -> closeIfTimedOut(connection, nowMicros));
    }

    private void closeIfTimedOut(ClientConnection connection, long nowMicros) {
        if (isRequestTooSlow(connection, nowMicros)) {
            connection
                    .reader()
                    .reject(new RequestValidator.Rejection(
                            RejectionReason.REQUEST_TOO_SLOW, "the request is not whole"));
        } else if (timeouts.mustClose(connection.state(), connection.isIdle(), elapsed(connection, nowMicros))) {
            connection.close();
        }
    }

    private boolean isRequestTooSlow(ClientConnection connection, long nowMicros) {
        RequestReader reader = connection.reader();
        if (reader.hasMinimumRate()) {
            return reader.isBelowMinimumRate(nowMicros);
        }
        return reader.isRequestIncomplete() && timeouts.requestExpired(elapsed(connection, nowMicros));
    }

    private static long elapsed(ClientConnection connection, long nowMicros) {
        return nowMicros - connection.stateSinceMicros();
    }

    // ---- Scarce sockets ------------------------------------------------------------------------------

    /**
     * Closes the longest idle connections where many are open. Clients that send one request and keep the connection
     * would otherwise reach their own limit, and their further requests would never be received.
     */
    void closeExcessIdle(long nowMicros) {
        List<ClientConnection> idle = connections.copy().stream()
                .filter(ClientConnection::isIdle)
                .sorted(Comparator.comparingLong(ClientConnection::stateSinceMicros))
                .toList();
        idle.stream()
                .limit(connections.excess(idle.size()))
                .filter(connection -> timeouts.exceedsShortIdle(elapsed(connection, nowMicros)))
                .forEach(ClientConnection::close);
    }

    /** Closes those connections without a request that have been so for longest, until new ones can be accepted. */
    void makeRoom(long nowMicros) {
        connections.copy().stream()
                .filter(connection ->
                        timeouts.mayMakeRoom(connection.state(), connection.isIdle(), elapsed(connection, nowMicros)))
                .sorted(Comparator.comparingLong(ClientConnection::stateSinceMicros))
                .limit(connections.missingReserve())
                .toList()
                .forEach(ClientConnection::close);
    }

    // ---- Graceful shutdown ---------------------------------------------------------------------------

    /**
     * Ends the connections on which no request has begun. The end of one that has begun may have been received by the
     * system, and only its response may end the connection.
     */
    void closeIdleForShutdown(long nowMicros) {
        for (ClientConnection connection : connections.copy()) {
            if (isUnused(connection, nowMicros)) {
                connection.closeOutput();
            }
        }
    }

    /** As {@link #closeIdleForShutdown}; also rejects incomplete requests and closes for clients that do not leave. */
    void closeAllForShutdown(long nowMicros) {
        for (ClientConnection connection : connections.copy()) {
            RequestReader reader = connection.reader();
            if (isUnused(connection, nowMicros)) {
                connection.closeOutput();
            } else if (timeouts.isLingering(connection.state(), elapsed(connection, nowMicros))) {
                connection.close();
            } else if (reader.isRequestIncomplete() && !reader.isStreaming()) {
                reader.reject(new RequestValidator.Rejection(RejectionReason.SHUTDOWN_BEFORE_COMPLETE, "it ends"));
            }
        }
    }

    private boolean isUnused(ClientConnection connection, long nowMicros) {
        return connection.isIdle() || timeouts.isSilent(connection.state(), elapsed(connection, nowMicros));
    }
}
