package sedgeyoke.proxy.client;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The open client connections and the limits on their number: when no more are accepted, when requests are rejected,
 * and when idle connections are closed. {@link ClientConnectionCloser} closes them. Event loop only.
 */
final class ClientConnections {
    /** Share of the process's sockets for client connections; at this limit, no more connections are accepted. */
    private static final double CLIENT_SHARE = 0.5;
    /**
     * Within this distance of the limit, connections without a request are closed and further requests are rejected.
     */
    private static final int RESERVED_CONNECTIONS = 32;
    /**
     * From this share of the sockets on, the longest idle connections are closed. The platform allows clients to use a
     * third of the sockets for idle connections; {@link #CLIENT_SHARE} is larger, to leave room for connections with a
     * request.
     */
    private static final double SCARCE_SHARE = 0.125;
    /**
     * From this share of the sockets on, each response closes its connection: half of the third that the platform
     * allows for idle connections.
     */
    private static final double CROWDED_SHARE = 0.17;

    private final int sockets;
    private final int maxConnections;
    private final Set<ClientConnection> connections = new HashSet<>();
    private int busy;
    private int idle;

    /** {@code sockets} is the socket limit of the whole process. */
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

    /** Number of open connections, including those whose last response is being written. */
    int size() {
        return connections.size();
    }

    /** Number of connections with a request in flight or whose response is being written. */
    int busy() {
        return busy;
    }

    /** Adds {@code delta} to the number of connections in a state. */
    void count(ClientConnectionState state, int delta) {
        busy += state.isBusy() ? delta : 0;
        idle += state == ClientConnectionState.IDLE ? delta : 0;
    }

    /** Whether another connection may be accepted. */
    boolean mayAccept() {
        return connections.size() < maxConnections;
    }

    /** Whether a further request must be rejected because sockets are scarce. */
    boolean mustReject() {
        return busy > maxConnections - RESERVED_CONNECTIONS;
    }

    /**
     * Whether each response must close its connection. Otherwise clients that send one request and keep the connection
     * could use up all of them. Closing with the response is safe, while a connection closed later may just be
     * receiving its next request.
     */
    boolean isCrowded() {
        return busy + idle > CROWDED_SHARE * sockets;
    }

    /** A copy of the open connections, so that a caller can close connections while it iterates. */
    List<ClientConnection> copy() {
        return List.copyOf(connections);
    }

    /**
     * By how many the busy connections and {@code idleConnections} exceed the number that clients should keep open, or
     * 0.
     */
    long excess(int idleConnections) {
        return Math.max(0, busy + idleConnections - (long) (SCARCE_SHARE * sockets));
    }

    /** Whether connections without a request must be closed to make room for new ones. */
    boolean isNearlyFull() {
        return connections.size() > maxConnections - RESERVED_CONNECTIONS;
    }

    /** How many connections must be closed to restore the reserve; call only if {@link #isNearlyFull}. */
    int missingReserve() {
        return connections.size() - maxConnections + RESERVED_CONNECTIONS;
    }
}
