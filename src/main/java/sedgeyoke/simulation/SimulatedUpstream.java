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

    /** Rises with each end of its process: what was sent to an earlier one does not reach this one. */
    int incarnation() {
        return incarnation;
    }

    /** Whether it has ended for good; another upstream may be at its address. */
    boolean removed() {
        return removed;
    }

    void markRemoved() {
        removed = true;
    }

    /** Whether it is in service and answers. */
    boolean isRunning() {
        return !removed && !model.unresponsive();
    }

    /** Connections that forwarders hold to its process. */
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

    /** Requests that reached it since the start of the run. */
    long requestsReceived() {
        return requestsReceived;
    }

    /** Its process ends, and all its connections are reset. */
    void breakConnections() {
        incarnation++;
        connections = 0;
        List.copyOf(openAttempts).forEach(SimulatedAttempt::connectionBroken);
        openAttempts.clear();
    }
}
