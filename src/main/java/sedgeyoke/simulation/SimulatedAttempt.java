package sedgeyoke.simulation;

/** One attempt of an exchange at an upstream. */
final class SimulatedAttempt {
    /** Has the forwarder learn, after the network's delay, that the attempt's connection broke. */
    interface BreakListener {
        /** The connection broke at the upstream's side. */
        void connectionBroken(SimulatedAttempt attempt);
    }

    private final SimulatedExchange exchange;
    private final int number;
    private final String upstreamId;
    private final int address;
    private final long startedAtMicros;
    private final int forwarderIncarnation;
    private final BreakListener breakListener;
    /** What the request was written to; null before, and where the upstream was gone by then. */
    private SimulatedUpstream upstream;
    /** What it was written on, while the attempt uses it; else null. */
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

    /** Its number among the exchange's attempts, from 0. */
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

    /** The request was written on a connection. */
    void write(SimulatedConnection on) {
        connection = on;
        upstream = on.upstream();
        written = true;
        upstream.attemptStarted(this);
    }

    /** The request was written, but nothing is at the address any more. */
    void writeToNowhere() {
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

    /** Takes the connection off the attempt if it can be reused; else returns null. */
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

    /** The forwarder no longer waits for the answer; whatever runs at the upstream goes on. */
    void abandon() {
        if (upstream != null) {
            upstream.attemptEnded(this);
            closeConnection();
        }
    }

    /** The connection breaks at the upstream's side. */
    void connectionBroken() {
        if (!ended) {
            breakListener.connectionBroken(this);
        }
    }
}
