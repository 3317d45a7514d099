package sedgeyoke.simulation;

/**
 * Models the extra processing time of a process's first requests, while most of its code is not yet compiled: it falls
 * to 0 over a number of requests, which are handled one after another.
 */
final class ColdStartDelay {
    private final EventQueue events;
    private final long firstCostMicros;
    private int requests;
    private long busyUntilMicros;

    ColdStartDelay(EventQueue events, Scenario.Network network) {
        this.events = events;
        this.firstCostMicros = network.coldStartUs();
    }

    /** Counts a request that arrives now; returns its delay in microseconds. */
    long nextRequest() {
        int remaining = Math.max(0, Scenario.Network.COLD_START_REQUESTS - requests++);
        long costMicros = firstCostMicros * remaining / Scenario.Network.COLD_START_REQUESTS;
        if (costMicros == 0) {
            return 0;
        }
        busyUntilMicros = Math.max(events.now(), busyUntilMicros) + costMicros;
        return busyUntilMicros - events.now();
    }
}
