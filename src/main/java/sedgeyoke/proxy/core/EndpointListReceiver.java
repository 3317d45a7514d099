package sedgeyoke.proxy.core;

import sedgeyoke.policy.LoadBalancingPolicy.ListKind;
import sedgeyoke.proxy.common.RateLimitedLog;
import sedgeyoke.proxy.config.EndpointList;
import sedgeyoke.proxy.discovery.DiscoveryClient;
import sedgeyoke.proxy.discovery.DiscoveryMetrics;
import sedgeyoke.proxy.discovery.InitialListBarrier;
import sedgeyoke.proxy.exchange.PolicyClock;
import sedgeyoke.proxy.exchange.PolicyEvents;
import sedgeyoke.proxy.upstream.EndpointChanges;
import sedgeyoke.proxy.upstream.EndpointTable;

/** Applies the endpoint lists of discovery to the endpoint table, and then notifies the policy. Event loop only. */
final class EndpointListReceiver implements DiscoveryClient.Listener {
    private final PolicyClock clock;
    private final PolicyEvents events;
    private final EndpointTable endpoints;
    private final InitialListBarrier initialListBarrier;
    private final DiscoveryMetrics metrics;
    private final RateLimitedLog log;

    EndpointListReceiver(
            PolicyClock clock,
            PolicyEvents events,
            EndpointTable endpoints,
            InitialListBarrier initialListBarrier,
            DiscoveryMetrics metrics,
            RateLimitedLog log) {
        this.clock = clock;
        this.events = events;
        this.endpoints = endpoints;
        this.initialListBarrier = initialListBarrier;
        this.metrics = metrics;
        this.log = log;
    }

    @Override
    public void listed(EndpointList list) {
        metrics.count(DiscoveryMetrics.Event.LIST_ACCEPTED);
        EndpointChanges changes = endpoints.update(list);
        log.state("endpoints: revision " + list.revision() + (list.complete() ? " complete: " : ": ") + changes);
        ListKind kind = list.complete() ? ListKind.COMPLETE : ListKind.CHANGES;
        events.deliver(() -> events.policy().endpointsUpdated(clock.now(), kind, list.upstreams()));
    }

    @Override
    public void confirmed() {
        initialListBarrier.listConfirmed();
    }

    @Override
    public void unavailable() {
        events.deliver(() -> events.policy().endpointsUnavailable(clock.now()));
    }
}
