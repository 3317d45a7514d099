package sedgeyoke.proxy;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The open connections of clients, and which of them are closed or rejected where sockets are scarce. To be used on
 * the event loop.
 */
final class ClientConnections {
    /** Share of the sockets for clients; at that many, connections are no longer accepted. */
    private static final double CLIENT_SHARE = 0.5;
    /** So many below that, connections without a request are closed, and further requests are rejected. */
    private static final int RESERVE = 32;
    /** Clients may hold a third of the sockets. From this share on, the longest idle connections are closed. */
    private static final double SCARCE_SHARE = 0.125;
    /** From this share on, half of that third, each response ends its connection. */
    private static final double CROWDED_SHARE = 0.17;

    private final int sockets;
    private final int maxConnections;
    private final Set<ClientConnection> connections = new HashSet<>();
    private int busy;
    private int idle;
    private long pipelinedBytes;

    /** {@code sockets} is the limit of the whole process. */
    ClientConnections(int sockets) {
        this.sockets = sockets;
        this.maxConnections = (int) (CLIENT_SHARE * sockets);
    }

    void add(ClientConnection connection) {
        connections.add(connection);
    }

    void remove(ClientConnection connection) {
        connections.remove(connection);
    }

    /** Open connections, including those whose last response is being written. */
    int size() {
        return connections.size();
    }

    /** Connections with a request in flight, or whose response is being written. */
    int busy() {
        return busy;
    }

    /** Adds {@code delta} connections in that state. */
    void count(ClientConnectionState state, int delta) {
        busy += state.isBusy() ? delta : 0;
        idle += state == ClientConnectionState.IDLE ? delta : 0;
    }

    /** Adds to the bytes that were received behind requests in flight, on all connections. */
    void countPipelined(int bytes) {
        pipelinedBytes += bytes;
    }

    long pipelinedBytes() {
        return pipelinedBytes;
    }

    /** Whether another connection may be accepted. */
    boolean mayAccept() {
        return connections.size() < maxConnections;
    }

    /** Whether a further request must be rejected for lack of sockets. */
    boolean mustReject() {
        return busy > maxConnections - RESERVE;
    }

    /**
     * Whether responses must end their connections. Clients that send one request and keep the connection could
     * otherwise use up all of them; ended with its response, a connection is not closed just as a request comes.
     */
    boolean isCrowded() {
        return busy + idle > CROWDED_SHARE * sockets;
    }

    /** Lets each connection check its timeouts. */
    void checkTimeouts(long now) {
        List.copyOf(connections).forEach(connection -> connection.checkTimeouts(now));
    }

    /** Ends connections at a graceful shutdown; see {@link ClientConnection#shutDown}. */
    void shutDown(long now, boolean immediately) {
        List.copyOf(connections).forEach(connection -> connection.shutDown(now, immediately));
    }

    /**
     * Closes the longest idle connections where many are open. Clients that send one request and keep the connection
     * would otherwise reach their own limit, and their further requests would never be received.
     */
    void closeExcessIdle(long now) {
        List<ClientConnection> idleConnections = connections.stream()
                .filter(ClientConnection::isIdle)
                .sorted(Comparator.comparingLong(ClientConnection::stateSinceMicros))
                .toList();
        long excess = busy + idleConnections.size() - (long) (SCARCE_SHARE * sockets);
        idleConnections.stream()
                .limit(Math.max(0, excess))
                .filter(connection -> connection.exceedsShortIdle(now))
                .forEach(ClientConnection::close);
    }

    /** Whether connections without a request must be closed in favour of new ones. */
    boolean isNearlyFull() {
        return connections.size() > maxConnections - RESERVE;
    }

    /** Closes those connections without a request that have been so for longest. */
    void makeRoom(long now) {
        connections.stream()
                .filter(connection -> connection.mayMakeRoom(now))
                .sorted(Comparator.comparingLong(ClientConnection::stateSinceMicros))
                .limit(connections.size() - maxConnections + RESERVE)
                .toList()
                .forEach(ClientConnection::close);
    }
}
