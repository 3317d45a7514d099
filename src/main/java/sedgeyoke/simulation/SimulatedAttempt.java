package sedgeyoke.simulation;

/** One attempt of an exchange at an upstream. */
final class SimulatedAttempt {
    /** Notifies the forwarder, after the network's delay, that an attempt's connection was reset by the upstream. */
    interface BreakListener {
        /** Called when the upstream's side of the connection was reset. */
        void connectionBroken(SimulatedAttempt attempt);
    }

    private final SimulatedExchange exchange;
    private final int number;
    private final String upstreamId;
    private final int address;
    private final long startedAtMicros;
    private final int forwarderIncarnation;
    private final BreakListener breakListener;
    /** The upstream that the request was written to; null before that, and if the upstream was removed by then. */
    private SimulatedUpstream upstream;
    /** The connection that the attempt uses; null before the request is written and after its release. */
    private SimulatedConnection connection;

    private boolean written;
    private boolean ended;

    SimulatedAttempt(
            SimulatedExchange exchange,
            String upstreamId,
            int address,
            long startedAtMicros,
            int forwarderIncarnation,
            BreakListener breakListener) {
        this.exchange = exchange;
        this.number = exchange.attempts().size();
        this.upstreamId = upstreamId;
        this.address = address;
        this.startedAtMicros = startedAtMicros;
        this.forwarderIncarnation = forwarderIncarnation;
        this.breakListener = breakListener;
    }

    SimulatedExchange exchange() {
        return exchange;
    }

    /** The attempt's number among the exchange's attempts, from 0. */
    int number() {
        return number;
    }

    String upstreamId() {
        return upstreamId;
    }

    int address() {
        return address;
    }

    long startedAtMicros() {
        return startedAtMicros;
    }

    /** The incarnation of the forwarder that started it. */
    int forwarderIncarnation() {
        return forwarderIncarnation;
    }

    /** The upstream that the request was written to, or null. */
    SimulatedUpstream upstream() {
        return upstream;
    }

    /** Records that the request was written on a connection. */
    void write(SimulatedConnection on) {
        connection = on;
        upstream = on.upstream();
        written = true;
        upstream.attemptStarted(this);
    }

    /** Records that the request was written to an address at which there is no upstream any more. */
    void writeToRemovedUpstream() {
        written = true;
    }

    boolean written() {
        return written;
    }

    void markEnded() {
        ended = true;
    }

    boolean ended() {
        return ended;
    }

    /** Detaches and returns the connection if it can be reused; else returns null. */
    SimulatedConnection detachConnection() {
        if (connection == null || !connection.isOpen()) {
            return null;
        }
        SimulatedConnection reusable = connection;
        connection = null;
        return reusable;
    }

    void closeConnection() {
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }

    /** Stops waiting for the answer and closes the connection; execution at the upstream continues. */
    void abandon() {
        if (upstream != null) {
            upstream.attemptEnded(this);
            closeConnection();
        }
    }

    /** Handles a reset of the connection by the upstream. */
    void connectionBroken() {
        if (!ended) {
            breakListener.connectionBroken(this);
        }
    }
}
