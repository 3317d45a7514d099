package sedgeyoke.simulation;

/** A connection of a forwarder to one process of an upstream, counted by the upstream while it is open. */
final class SimulatedConnection {
    private final SimulatedUpstream upstream;
    private final int upstreamIncarnation;
    private boolean closed;

    /** Opens a connection to the upstream's current process. */
    SimulatedConnection(SimulatedUpstream upstream) {
        this.upstream = upstream;
        this.upstreamIncarnation = upstream.incarnation();
        upstream.connectionOpened();
    }

    SimulatedUpstream upstream() {
        return upstream;
    }

    /** Whether the process that the connection was opened to is still the upstream's current one. */
    boolean reachesSameProcess() {
        return upstream.incarnation() == upstreamIncarnation;
    }

    boolean isOpen() {
        return !closed && reachesSameProcess();
    }

    void close() {
        if (isOpen()) {
            upstream.connectionClosed();
        }
        closed = true;
    }
}
