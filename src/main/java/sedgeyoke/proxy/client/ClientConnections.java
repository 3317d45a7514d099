package sedgeyoke.proxy.client;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Holds the open connections of clients and knows how many there may be: from when on further ones wait, requests are
 * rejected and idle connections must go. {@link ClientConnectionCloser} closes them. To be used on the event loop.
 */
final class ClientConnections {
    /** Share of the sockets for clients; at that many, connections are no longer accepted. */
    private static final double CLIENT_SHARE = 0.5;
    /** Closer than that to the limit, connections without a request are closed, and requests are rejected. */
    private static final int RESERVED_CONNECTIONS = 32;
    /**
     * From this share of the sockets on, the longest idle connections are closed. The platform allows clients a third
     * of the sockets for idle connections; {@link #CLIENT_SHARE} is more, for connections with a request.
     */
    private static final double SCARCE_SHARE = 0.125;
    /** From this share on, which is half of that third, each response ends its connection. */
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
        return busy > maxConnections - RESERVED_CONNECTIONS;
    }

    /**
     * Whether responses must end their connections. Clients that send one request and keep the connection could
     * otherwise use up all of them; ended with its response, a connection is not closed just as a request comes.
     */
    boolean isCrowded() {
        return busy + idle > CROWDED_SHARE * sockets;
    }

    /** The open connections at this moment, which may be closed while a caller goes through them. */
    List<ClientConnection> copy() {
        return List.copyOf(connections);
    }

    /** How many of so many idle connections are more than clients should keep open; 0 for none. */
    long excess(int idleConnections) {
        return Math.max(0, busy + idleConnections - (long) (SCARCE_SHARE * sockets));
    }

    /** Whether connections without a request must be closed in favour of new ones. */
    boolean isNearlyFull() {
        return connections.size() > maxConnections - RESERVED_CONNECTIONS;
    }

    /** How many connections must be closed until the reserve is free again; only if {@link #isNearlyFull}. */
    int missingReserve() {
        return connections.size() - maxConnections + RESERVED_CONNECTIONS;
    }
}
