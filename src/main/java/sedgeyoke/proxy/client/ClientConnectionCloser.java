package sedgeyoke.proxy.client;

import java.util.Comparator;
import java.util.List;
import sedgeyoke.proxy.common.RateLimitedLog;
import sedgeyoke.proxy.exchange.RejectionReason;

/**
 * Closes client connections that are unused or too slow. An idle connection is closed
 *
 * <ul>
 *   <li>after the keep-alive timeout ({@link #closeTimedOut}),
 *   <li>after a shorter timeout while many are open, the longest idle first ({@link #closeExcessIdle}),
 *   <li>when the connection limit is nearly reached ({@link #makeRoom}),
 *   <li>and in a graceful shutdown as soon as no further request is accepted ({@link #closeIdleForShutdown}); until
 *       then the timeouts above apply.
 * </ul>
 *
 * <p>The same methods close connections whose client sends nothing, sends its request too slowly, does not read its
 * response, or does not disconnect after the last one. {@link HttpFrontend#allowsKeepAlive} decides whether a response
 * closes its connection.
 *
 * <p>All methods consider only what clients have sent up to {@code readUntilMicros}: everything that arrived before has
 * been read ({@link sedgeyoke.proxy.common.ReadBarrier}), while a request that arrived later may still be unread. Event
 * loop only; times are microseconds of the policy's clock.
 */
final class ClientConnectionCloser {
    private final ClientConnections connections;
    private final ClientTimeouts timeouts;
    private final RateLimitedLog log;
    /** For the log: the connections that the current check has closed because they were idle. */
    private int idleClosed;

    ClientConnectionCloser(ClientConnections connections, ClientTimeouts timeouts, RateLimitedLog log) {
        this.connections = connections;
        this.timeouts = timeouts;
        this.log = log;
    }

    // ---- Timeouts ------------------------------------------------------------------------------------

    /** Rejects requests that arrive too slowly, and closes connections whose state has timed out. */
    void closeTimedOut(long readUntilMicros) {
        idleClosed = 0;
        connections.copy().forEach(connection -> closeIfTimedOut(connection, readUntilMicros));
        if (idleClosed > 0) {
            log.line("closing " + idleClosed + " client connections that were idle for more than "
                    + timeouts.idleMillis() + " ms");
        }
    }

    private void closeIfTimedOut(ClientConnection connection, long readUntilMicros) {
        connection.reader().checkArrival();
        if (isRequestTooSlow(connection, readUntilMicros)) {
            connection
                    .reader()
                    .reject(new RequestValidator.Rejection(
                            RejectionReason.REQUEST_TOO_SLOW, "the request is not whole"));
            return;
        }
        checkProgress(connection, readUntilMicros);
        long elapsedMicros = elapsed(connection, readUntilMicros);
        if (timeouts.mustClose(connection.state(), connection.isIdle(), elapsedMicros)) {
            logTimedOut(connection, elapsedMicros);
            connection.close();
        } else if (timeouts.responseExpired(connection.state(), readUntilMicros - connection.stateEnteredMicros())) {
            log.line("closing the connection of request " + connection.requestId() + ": its response takes longer than "
                    + timeouts.maxResponseSeconds() + " s");
            connection.close();
        }
    }

    private void logTimedOut(ClientConnection connection, long elapsedMicros) {
        if (connection.isIdle()) {
            idleClosed++;
        } else if (connection.state() == ClientConnectionState.WRITING) {
            log.line("a client does not read its response: closing its connection after " + elapsedMicros
                    + " us without progress, " + connection.unwrittenBytes() + " bytes unwritten, request "
                    + connection.requestId());
        } else {
            log.line("closing a client connection after " + elapsedMicros + " us in state " + connection.state());
        }
    }

    private void checkProgress(ClientConnection connection, long nowMicros) {
        long sinceLastCheckMicros = nowMicros - connection.progressCheckMicros();
        if (timeouts.mustCheckProgress(connection.state(), elapsed(connection, nowMicros), sinceLastCheckMicros)) {
            connection.checkResponseProgress(nowMicros);
        }
    }

    private boolean isRequestTooSlow(ClientConnection connection, long readUntilMicros) {
        RequestReader reader = connection.reader();
        if (reader.hasMinimumRate()) {
            return reader.isBelowMinimumRate(readUntilMicros);
        }
        return reader.isRequestIncomplete() && timeouts.requestExpired(elapsed(connection, readUntilMicros));
    }

    private static long elapsed(ClientConnection connection, long readUntilMicros) {
        return readUntilMicros - connection.stateSinceMicros();
    }

    // ---- Scarce sockets ------------------------------------------------------------------------------

    /**
     * Closes the longest idle connections while many are open. Otherwise clients that send one request and keep the
     * connection would reach their own connection limit, and their further requests would never arrive.
     */
    void closeExcessIdle(long readUntilMicros) {
        List<ClientConnection> idle = connections.copy().stream()
                .filter(ClientConnection::isIdle)
                .sorted(Comparator.comparingLong(ClientConnection::stateSinceMicros))
                .toList();
        idle.stream()
                .limit(connections.excess(idle.size()))
                .filter(connection -> timeouts.exceedsShortIdle(elapsed(connection, readUntilMicros)))
                .forEach(ClientConnection::close);
    }

    /** Closes the connections that have been without a request for longest, until new ones can be accepted. */
    void makeRoom(long readUntilMicros) {
        List<ClientConnection> longestUnused = connections.copy().stream()
                .filter(connection -> timeouts.mayMakeRoom(
                        connection.state(), connection.isIdle(), elapsed(connection, readUntilMicros)))
                .sorted(Comparator.comparingLong(ClientConnection::stateSinceMicros))
                .limit(connections.missingReserve())
                .toList();
        if (!longestUnused.isEmpty()) {
            logClosed(longestUnused, readUntilMicros);
            longestUnused.forEach(ClientConnection::close);
        }
    }

    private void logClosed(List<ClientConnection> closed, long readUntilMicros) {
        long silent = closed.stream()
                .filter(connection -> connection.state() == ClientConnectionState.NEW)
                .count();
        log.line("sockets are scarce: closing " + closed.size() + " client connections without a request, " + silent
                + " of which have sent nothing, for up to " + elapsed(closed.get(0), readUntilMicros) + " us");
    }

    // ---- Graceful shutdown ---------------------------------------------------------------------------

    /**
     * Closes the connections on which no request has begun. If one has begun, its end may already be in the socket's
     * buffer, so only its response may close the connection.
     */
    void closeIdleForShutdown(long readUntilMicros) {
        for (ClientConnection connection : connections.copy()) {
            if (isUnused(connection, readUntilMicros)) {
                connection.closeOutput();
            }
        }
    }

    /** Like {@link #closeIdleForShutdown}, but also rejects incomplete requests and closes lingering connections. */
    void closeAllForShutdown(long readUntilMicros) {
        for (ClientConnection connection : connections.copy()) {
            RequestReader reader = connection.reader();
            if (isUnused(connection, readUntilMicros)) {
                connection.closeOutput();
            } else if (timeouts.isLingering(connection.state(), elapsed(connection, readUntilMicros))) {
                connection.close();
            } else if (reader.isRequestIncomplete() && !reader.isStreaming()) {
                reader.reject(new RequestValidator.Rejection(RejectionReason.SHUTDOWN_BEFORE_COMPLETE, "it ends"));
            }
        }
    }

    /**
     * Whether nothing of a request had arrived by then. A connection that became idle later may have an unread request.
     */
    private boolean isUnused(ClientConnection connection, long readUntilMicros) {
        long elapsedMicros = elapsed(connection, readUntilMicros);
        return (connection.isIdle() && elapsedMicros >= 0) || timeouts.isSilent(connection.state(), elapsedMicros);
    }
}
