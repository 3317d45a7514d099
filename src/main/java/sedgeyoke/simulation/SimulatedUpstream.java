package sedgeyoke.simulation;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import sedgeyoke.model.UpstreamModel;

/** An upstream at an address, with the forwarders' connections to it and the attempts on them. */
final class SimulatedUpstream {
    private final UpstreamModel model;
    private final int address;
    private final Set<SimulatedAttempt> openAttempts = new LinkedHashSet<>();
    private int incarnation;
    private boolean removed;
    private int connections;
    private long requestsReceived;

    SimulatedUpstream(UpstreamModel model, int address) {
        this.model = model;
        this.address = address;
    }

    UpstreamModel model() {
        return model;
    }

    String id() {
        return model.spec().id();
    }

    int address() {
        return address;
    }

    int zone() {
        return model.spec().zone();
    }

    /** Increases each time its process ends; requests sent to an earlier process do not reach the current one. */
    int incarnation() {
        return incarnation;
    }

    /** Whether the upstream was removed permanently; another upstream may have its address. */
    boolean removed() {
        return removed;
    }

    void markRemoved() {
        removed = true;
    }

    /** Whether the upstream is not removed and answers requests. */
    boolean isRunning() {
        return !removed && !model.unresponsive();
    }

    /** The number of open connections from forwarders to its process. */
    int connections() {
        return connections;
    }

    void connectionOpened() {
        connections++;
    }

    void connectionClosed() {
        connections--;
    }

    void attemptStarted(SimulatedAttempt attempt) {
        openAttempts.add(attempt);
    }

    void attemptEnded(SimulatedAttempt attempt) {
        openAttempts.remove(attempt);
    }

    void requestReceived() {
        requestsReceived++;
    }

    /** The number of requests received since the start of the run. */
    long requestsReceived() {
        return requestsReceived;
    }

    /** Ends the upstream's process and resets all its connections. */
    void breakConnections() {
        incarnation++;
        connections = 0;
        List.copyOf(openAttempts).forEach(SimulatedAttempt::connectionBroken);
        openAttempts.clear();
    }
}
