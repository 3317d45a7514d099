package sedgeyoke.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sedgeyoke.model.IdempotencyKeyCache;
import sedgeyoke.model.SiteModel;
import sedgeyoke.model.UpstreamModel;
import sedgeyoke.policy.LoadBalancingPolicy.ListKind;
import sedgeyoke.policy.LoadBalancingPolicy.State;
import sedgeyoke.policy.LoadBalancingPolicy.Upstream;

/** All order nodes, and discovery, which tells each balancer of changes after a delay of that balancer's own. */
final class SimulatedUpstreams {
    private final SimulationContext world;
    private final long seed;
    private final Map<String, SimulatedUpstream> byId = new TreeMap<>();
    private final Map<Integer, SimulatedUpstream> byAddress = new HashMap<>();
    private final List<SimulatedUpstream> inOrder = new ArrayList<>();
    private final List<IdempotencyKeyCache> memories = new ArrayList<>();
    private final Map<String, Entry> list = new TreeMap<>();
    private final List<Agent> agents = new ArrayList<>();
    private int addresses;
    private int replacements;
    private boolean down;

    /** An upstream and where it is. */
    record Entry(Upstream upstream, int address) {}

    /** Discovery as one balancer has it. */
    final class Agent {
        private final SimulatedForwarder forwarder;
        private final long delay;
        private final Map<String, Entry> missed = new TreeMap<>();

        Agent(SimulatedForwarder forwarder, long delay) {
            this.forwarder = forwarder;
            this.delay = delay;
        }

        private void learn(Entry entry) {
            if (down || !forwarder.alive()) {
                missed.put(entry.upstream().id(), entry);
                return;
            }
            world.ledger.told(
                    forwarder.name(), entry.upstream().id(), entry.upstream().state() == State.READY, world.time.now());
            forwarder.listed(ListKind.CHANGES, List.of(entry));
        }

        void catchUp() {
            List<Entry> all = List.copyOf(missed.values());
            missed.clear();
            all.forEach(this::learn);
        }

        /** The whole list, to a balancer that has just started. */
        void whole() {
            missed.clear();
            list.values()
                    .forEach(e -> world.ledger.told(
                            forwarder.name(),
                            e.upstream().id(),
                            e.upstream().state() == State.READY,
                            world.time.now()));
            forwarder.listed(ListKind.COMPLETE, current());
        }
    }

    SimulatedUpstreams(SimulationContext world, long seed) {
        this.world = world;
        this.seed = seed;
        world.scenario.site().zones().forEach(z -> memories.add(new IdempotencyKeyCache()));
        for (SiteModel.NodeSpec spec : world.scenario.site().nodes()) {
            SimulatedUpstream m = add(spec, addresses++);
            list.put(m.id(), entry(m, State.READY));
        }
    }

    private SimulatedUpstream add(SiteModel.NodeSpec spec, int address) {
        UpstreamModel model = new UpstreamModel(
                spec, world.scenario.site(), world.host(), world.ledger, memories.get(spec.zone()), seed);
        model.start();
        SimulatedUpstream m = new SimulatedUpstream(model, address);
        byId.put(spec.id(), m);
        byAddress.put(address, m);
        inOrder.add(m);
        return m;
    }

    private static Entry entry(SimulatedUpstream m, State state) {
        return new Entry(
                new Upstream(m.id(), m.zone, m.model.spec().kind(), m.zone, state, 1, m.model.launchedAt()), m.address);
    }

    // ---- What others ask -----------------------------------------------------------------------------

    /** What listens at an address now; null if nothing does. */
    SimulatedUpstream at(int address) {
        SimulatedUpstream m = byAddress.get(address);
        return m == null || m.gone ? null : m;
    }

    SimulatedUpstream byId(String id) {
        return byId.get(id);
    }

    /** All that ever were. */
    List<SimulatedUpstream> all() {
        return inOrder;
    }

    /** Those that stand in the list and run. */
    List<SimulatedUpstream> running() {
        return inOrder.stream().filter(m -> !m.gone && !m.model.silent()).toList();
    }

    /** Those of a zone that run. */
    List<SimulatedUpstream> zone(int zone) {
        return running().stream().filter(m -> m.zone == zone).toList();
    }

    List<Entry> current() {
        return list.values().stream()
                .filter(e -> e.upstream().state() != State.REMOVED)
                .toList();
    }

    Agent agent(SimulatedForwarder forwarder) {
        Scenario.Network n = world.scenario.network();
        long delay = n.discoveryMs() * 1_000
                + world.random.nextLong(Math.max(1, (n.discoveryMostMs() - n.discoveryMs()) * 1_000));
        Agent agent = new Agent(forwarder, delay);
        agents.add(agent);
        return agent;
    }

    // ---- What happens to nodes -----------------------------------------------------------------------

    private void tell(SimulatedUpstream m, State state) {
        Entry entry = entry(m, state);
        list.put(m.id(), entry);
        for (Agent agent : agents) {
            world.time.after(agent.delay, () -> agent.learn(entry));
        }
    }

    void discoveryDown(boolean on) {
        down = on;
        if (!on) {
            agents.forEach(Agent::catchUp);
        }
    }

    void restart(SimulatedUpstream m) {
        m.breakConnections();
        m.model.restart();
        tell(m, State.READY);
    }

    void drain(SimulatedUpstream m, long goesAfter) {
        m.model.drain();
        tell(m, State.DRAINING);
        if (goesAfter > 0) {
            world.time.after(goesAfter, () -> go(m));
        }
    }

    /** The process ends, and the machine refuses connections. */
    private void go(SimulatedUpstream m) {
        m.breakConnections();
        m.model.vanish();
        m.gone = true;
        tell(m, State.REMOVED);
    }

    /** Nothing answers any more, and nothing says so. */
    void vanish(SimulatedUpstream m) {
        m.model.vanish();
    }

    /** The node goes and another one, as large, starts cold elsewhere or at its address. */
    void replace(SimulatedUpstream m, boolean inPlace) {
        go(m);
        SiteModel.NodeSpec old = m.model.spec();
        SimulatedUpstream fresh = add(
                new SiteModel.NodeSpec(
                        old.id() + "-r" + ++replacements,
                        old.zone(),
                        old.cores(),
                        old.speed(),
                        old.slots(),
                        old.queue()),
                inPlace ? m.address : addresses++);
        fresh.model.restart();
        tell(fresh, State.READY);
    }
}
