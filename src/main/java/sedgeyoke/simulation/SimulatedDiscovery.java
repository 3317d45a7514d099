package sedgeyoke.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sedgeyoke.policy.LoadBalancingPolicy.ListKind;
import sedgeyoke.policy.LoadBalancingPolicy.State;
import sedgeyoke.policy.LoadBalancingPolicy.Upstream;

/** Service discovery: the endpoint list, and watch events, which reach each forwarder after a delay of its own. */
final class SimulatedDiscovery {
    private final SimulationContext context;
    private final Map<String, Endpoint> endpoints = new TreeMap<>();
    private final List<Subscription> subscriptions = new ArrayList<>();
    private boolean down;

    /** An upstream of the endpoint list, and its address. */
    record Endpoint(Upstream upstream, int address) {
        String id() {
            return upstream.id();
        }

        boolean isRemoved() {
            return upstream.state() == State.REMOVED;
        }

        /** Whether the other endpoint is another process: the upstream's address has changed, or it was restarted. */
        boolean isReplacedBy(Endpoint other) {
            return address != other.address || upstream.launchedAtMicros() != other.upstream.launchedAtMicros();
        }

        private static Endpoint of(SimulatedUpstream upstream, State state) {
            int zone = upstream.zone();
            return new Endpoint(
                    new Upstream(
                            upstream.id(),
                            zone,
                            upstream.model().spec().kind(),
                            zone,
                            state,
                            1,
                            upstream.model().launchedAtMicros()),
                    upstream.address());
        }
    }

    SimulatedDiscovery(SimulationContext context) {
        this.context = context;
    }

    /** Adds an upstream to the list before the run starts. */
    void addInitial(SimulatedUpstream upstream) {
        endpoints.put(upstream.id(), Endpoint.of(upstream, State.READY));
    }

    /** Publishes an upstream's new state to all forwarders. */
    void publish(SimulatedUpstream upstream, State state) {
        Endpoint endpoint = Endpoint.of(upstream, state);
        endpoints.put(endpoint.id(), endpoint);
        for (Subscription subscription : subscriptions) {
            context.events.schedule(subscription.delayMicros, () -> subscription.deliver(endpoint));
        }
    }

    /** Starts or ends an outage; watch events during an outage are delivered at its end. */
    void setDown(boolean down) {
        this.down = down;
        if (!down) {
            subscriptions.forEach(Subscription::deliverMissed);
        }
    }

    Subscription subscribe(SimulatedForwarder forwarder) {
        Scenario.Network network = context.scenario.network();
        long spreadMicros = (network.maxDiscoveryMs() - network.minDiscoveryMs()) * 1_000;
        long delayMicros = network.minDiscoveryMs() * 1_000 + context.random.nextLong(Math.max(1, spreadMicros));
        Subscription subscription = new Subscription(forwarder, delayMicros);
        subscriptions.add(subscription);
        return subscription;
    }

    /** One forwarder's watch of the endpoint list. */
    final class Subscription {
        private final SimulatedForwarder forwarder;
        private final long delayMicros;
        private final Map<String, Endpoint> missed = new TreeMap<>();

        private Subscription(SimulatedForwarder forwarder, long delayMicros) {
            this.forwarder = forwarder;
            this.delayMicros = delayMicros;
        }

        private void deliver(Endpoint endpoint) {
            if (down || !forwarder.isRunning()) {
                missed.put(endpoint.id(), endpoint);
                return;
            }
            recordNotification(endpoint);
            forwarder.endpointsChanged(ListKind.CHANGES, List.of(endpoint));
        }

        private void deliverMissed() {
            List<Endpoint> events = List.copyOf(missed.values());
            missed.clear();
            events.forEach(this::deliver);
        }

        /** Delivers the complete endpoint list, without removed upstreams. */
        void deliverAll() {
            missed.clear();
            endpoints.values().forEach(this::recordNotification);
            forwarder.endpointsChanged(
                    ListKind.COMPLETE,
                    endpoints.values().stream()
                            .filter(endpoint -> !endpoint.isRemoved())
                            .toList());
        }

        private void recordNotification(Endpoint endpoint) {
            boolean ready = endpoint.upstream().state() == State.READY;
            context.checker.balancerNotified(forwarder.name(), endpoint.id(), ready, context.events.now());
        }
    }
}
