package sedgeyoke.proxy.upstream;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sedgeyoke.policy.LoadBalancingPolicy.State;
import sedgeyoke.proxy.common.Transport;
import sedgeyoke.proxy.config.EndpointList;
import sedgeyoke.proxy.cordon.CordonSet;

/**
 * The upstreams of the current endpoint list, and which of them are ready: listed as ready and not cordoned. Event loop
 * only; times are microseconds of the policy's clock.
 */
public final class EndpointTable {
    private final Transport transport;
    private final Map<String, UpstreamEndpoint> endpoints = new HashMap<>();
    private CordonSet cordons = CordonSet.EMPTY;

    /** Creates an empty table. */
    public EndpointTable(Transport transport) {
        this.transport = transport;
    }

    /**
     * The upstream with this id; null if the endpoint list does not contain it. Not an {@code Optional}, to allocate
     * nothing for each attempt.
     */
    UpstreamEndpoint get(String upstream) {
        return endpoints.get(upstream);
    }

    /** Whether the endpoint list contains this upstream. */
    public boolean contains(String upstream) {
        return endpoints.containsKey(upstream);
    }

    // ---- Changes -------------------------------------------------------------------------------------

    /** Applies an endpoint list, before the policy is notified of it; returns the changes. */
    public EndpointChanges update(EndpointList list) {
        EndpointChanges changes = new EndpointChanges();
        if (list.complete()) {
            removeUnlisted(list, changes);
        }
        for (EndpointList.Member member : list.members()) {
            if (member.upstream().state() == State.REMOVED) {
                remove(member.upstream().id(), changes);
            } else {
                update(member, changes);
            }
        }
        return changes;
    }

    private void update(EndpointList.Member member, EndpointChanges changes) {
        String id = member.upstream().id();
        UpstreamEndpoint endpoint = endpoints.get(id);
        boolean added = endpoint == null;
        if (added) {
            endpoint = new UpstreamEndpoint();
            endpoints.put(id, endpoint);
        }
        boolean wasReady = endpoint.isReady();
        if (!added && endpoint.launchTimeMicros() != member.upstream().launchedAtMicros()) {
            changes.restarted(id);
        }
        endpoint.update(
                transport.at(member.address()),
                member.upstream().launchedAtMicros(),
                member.upstream().state() == State.READY);
        endpoint.updateReadiness(cordons.contains(id));
        if (endpoint.isReady() && !wasReady) {
            changes.ready(id);
        } else if (!endpoint.isReady() && (wasReady || added)) {
            changes.notReady(id);
        }
    }

    private void removeUnlisted(EndpointList list, EndpointChanges changes) {
        Set<String> listed = new HashSet<>();
        list.members().forEach(member -> listed.add(member.upstream().id()));
        List.copyOf(endpoints.keySet()).stream()
                .filter(id -> !listed.contains(id))
                .forEach(id -> remove(id, changes));
    }

    /**
     * Removes an upstream. Ids are never reused, so the table would grow without limit if it kept removed upstreams.
     */
    private void remove(String upstream, EndpointChanges changes) {
        UpstreamEndpoint endpoint = endpoints.remove(upstream);
        if (endpoint != null) {
            endpoint.retire();
            changes.removed(upstream);
        }
    }

    /** Applies the cordons of operators, before the policy is notified of them. */
    public void updateCordons(CordonSet newCordons) {
        cordons = newCordons;
        endpoints.forEach((id, endpoint) -> endpoint.updateReadiness(cordons.contains(id)));
    }

    // ---- Idle connections ----------------------------------------------------------------------------

    /** Closes the idle connections to an upstream, if it is listed. */
    void closeIdle(String upstream) {
        UpstreamEndpoint endpoint = endpoints.get(upstream);
        if (endpoint != null) {
            endpoint.closeIdle();
        }
    }

    /** Closes all connections that have been idle for longer than {@code maxIdleMicros}. */
    void closeIdleLongerThan(long maxIdleMicros, long nowMicros) {
        endpoints.values().forEach(endpoint -> endpoint.closeIdleLongerThan(maxIdleMicros, nowMicros));
    }

    /** Closes the connection that has been idle for longest; false if none is idle. */
    boolean closeOldestIdle() {
        UpstreamEndpoint oldest = null;
        for (UpstreamEndpoint endpoint : endpoints.values()) {
            if (endpoint.hasIdle()
                    && (oldest == null || endpoint.oldestIdleSinceMicros() < oldest.oldestIdleSinceMicros())) {
                oldest = endpoint;
            }
        }
        if (oldest == null) {
            return false;
        }
        oldest.closeOldestIdle();
        return true;
    }
}
