package sedgeyoke.simulation;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import sedgeyoke.model.UpstreamModel;

/** An order node at an address, with the attempts that are on connections to it. */
final class SimulatedUpstream {
    final UpstreamModel model;
    final int address;
    final int zone;
    /** Rises with each end of its process: what was sent to one before does not reach this one. */
    int process;
    /** Nothing is there any more, or something else is. */
    boolean gone;

    final Set<SimulatedForwarder.Attempt> open = new LinkedHashSet<>();
    /** Connections that balancers hold to this process. */
    int connections;
    /** For the figures: requests sent to it in this second. */
    long arrived;

    SimulatedUpstream(UpstreamModel model, int address) {
        this.model = model;
        this.address = address;
        this.zone = model.spec().zone();
    }

    String id() {
        return model.spec().id();
    }

    /** Its process ends and the machine says so: all connections break. */
    void breakConnections() {
        process++;
        connections = 0;
        List.copyOf(open).forEach(SimulatedForwarder.Attempt::broken);
        open.clear();
    }
}
