package sedgeyoke.simulation;

/** A connection of a forwarder to one process of an upstream; it counts among the upstream's connections while open. */
final class SimulatedConnection {
    private final SimulatedUpstream upstream;
    private final int upstreamIncarnation;
    private boolean closed;

    /** Connects to the process that runs at the upstream now. */
    SimulatedConnection(SimulatedUpstream upstream) {
        this.upstream = upstream;
        this.upstreamIncarnation = upstream.incarnation();
        upstream.connectionOpened();
    }

    SimulatedUpstream upstream() {
        return upstream;
    }

    /** Whether the process that it was opened to still runs. */
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
