package sedgeyoke.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sedgeyoke.model.IdempotencyKeyCache;
import sedgeyoke.model.SiteModel;
import sedgeyoke.model.UpstreamModel;
import sedgeyoke.policy.LoadBalancingPolicy.State;

/** All upstreams of a run and their life cycle. Discovery publishes changes, but not that an upstream hangs. */
final class SimulatedUpstreams {
    private final SimulationContext context;
    private final SimulatedDiscovery discovery;
    private final long seed;
    private final Map<String, SimulatedUpstream> byId = new TreeMap<>();
    private final Map<Integer, SimulatedUpstream> byAddress = new HashMap<>();
    private final List<SimulatedUpstream> inOrderOfCreation = new ArrayList<>();
    private final List<IdempotencyKeyCache> keyCachesByZone = new ArrayList<>();
    private int nextAddress;
    private int replacements;

    SimulatedUpstreams(SimulationContext context, SimulatedDiscovery discovery, long seed) {
        this.context = context;
        this.discovery = discovery;
        this.seed = seed;
        context.scenario.site().zones().forEach(zone -> keyCachesByZone.add(new IdempotencyKeyCache()));
        for (SiteModel.NodeSpec spec : context.scenario.site().nodes()) {
            discovery.addInitial(create(spec, nextAddress++));
        }
    }

    private SimulatedUpstream create(SiteModel.NodeSpec spec, int address) {
        UpstreamModel model = new UpstreamModel(
                spec,
                context.scenario.site(),
                context.upstreamHost(),
                context.checker,
                keyCachesByZone.get(spec.zone()),
                seed);
        model.start();
        SimulatedUpstream upstream = new SimulatedUpstream(model, address);
        byId.put(spec.id(), upstream);
        byAddress.put(address, upstream);
        inOrderOfCreation.add(upstream);
        return upstream;
    }

    // ---- Queries -------------------------------------------------------------------------------------

    /** Returns the upstream at an address; null if there is none or it was removed. */
    SimulatedUpstream at(int address) {
        SimulatedUpstream upstream = byAddress.get(address);
        return upstream == null || upstream.removed() ? null : upstream;
    }

    /** Returns the upstream with this id, even if it was removed; null if there never was one. */
    SimulatedUpstream byId(String id) {
        return byId.get(id);
    }

    /** All upstreams, including removed ones, in order of creation. */
    List<SimulatedUpstream> all() {
        return inOrderOfCreation;
    }

    List<SimulatedUpstream> running() {
        return inOrderOfCreation.stream().filter(SimulatedUpstream::isRunning).toList();
    }

    List<SimulatedUpstream> runningInZone(int zone) {
        return running().stream().filter(upstream -> upstream.zone() == zone).toList();
    }

    // ---- Life cycle ----------------------------------------------------------------------------------

    /** Restarts an upstream, which is then in slow start; its connections are reset. */
    void restart(SimulatedUpstream upstream) {
        upstream.breakConnections();
        upstream.model().restart();
        discovery.publish(upstream, State.READY);
    }

    /** Starts to drain an upstream; it is removed after a delay, if that is not 0. */
    void drain(SimulatedUpstream upstream, long removedAfterMicros) {
        upstream.model().drain();
        discovery.publish(upstream, State.DRAINING);
        if (removedAfterMicros > 0) {
            context.events.schedule(removedAfterMicros, () -> remove(upstream));
        }
    }

    private void remove(SimulatedUpstream upstream) {
        upstream.breakConnections();
        upstream.model().stopResponding();
        upstream.markRemoved();
        discovery.publish(upstream, State.REMOVED);
    }

    /** Makes an upstream stop answering; its connections stay open. */
    void stopResponding(SimulatedUpstream upstream) {
        upstream.model().stopResponding();
    }

    /** Replaces an upstream by an equal one in slow start, under a new id, at the same address or a new one. */
    void replace(SimulatedUpstream upstream, boolean atSameAddress) {
        remove(upstream);
        SiteModel.NodeSpec old = upstream.model().spec();
        SiteModel.NodeSpec spec = new SiteModel.NodeSpec(
                old.id() + "-r" + ++replacements, old.zone(), old.cores(), old.speed(), old.slots(), old.queue());
        SimulatedUpstream replacement = create(spec, atSameAddress ? upstream.address() : nextAddress++);
        replacement.model().restart();
        discovery.publish(replacement, State.READY);
    }
}
