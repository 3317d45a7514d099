package sedgeyoke.proxy.core;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.proxy.common.RateLimitedLog;
import sedgeyoke.proxy.config.BalancerConfig;
import sedgeyoke.proxy.cordon.CordonSet;
import sedgeyoke.proxy.cordon.CordonStore;
import sedgeyoke.proxy.exchange.PolicyClock;
import sedgeyoke.proxy.exchange.PolicyEvents;
import sedgeyoke.proxy.upstream.EndpointTable;

/**
 * The upstreams that operators have taken out of service: at this balancer's admin endpoint, or for the whole fleet in
 * the config servers. Event loop only.
 */
final class CordonRegistry {
    /** How soon a cordon set in one process of a balancer reaches the other one during an upgrade. */
    private static final long REFRESH_INTERVAL_MICROS = 100_000;

    private final PolicyClock clock;
    private final PolicyEvents events;
    private final EndpointTable endpoints;
    private final CordonStore local;
    private final RateLimitedLog log;
    /** Cordons for the whole fleet; each since the time at which this process was notified of it. */
    private CordonSet fleetWide = CordonSet.EMPTY;

    /** A change to the stored cordons; returns whether it was applied. */
    private interface StoreChange {
        boolean apply() throws IOException;
    }

    CordonRegistry(
            PolicyClock clock, PolicyEvents events, EndpointTable endpoints, CordonStore local, RateLimitedLog log) {
        this.clock = clock;
        this.events = events;
        this.endpoints = endpoints;
        this.local = local;
        this.log = log;
    }

    /**
     * Creates the cordon store of a balancer; if there is no file for it, the cordons are lost when the process ends.
     */
    static CordonStore createStore(BalancerConfig config) {
        return new CordonStore(cordonFile(config));
    }

    /** The file that the processes of one balancer share during an upgrade; null if there is no admin endpoint. */
    private static Path cordonFile(BalancerConfig config) {
        if (config.adminAddress() == null || config.sharedFolder() == null) {
            return null;
        }
        return config.sharedFolder()
                .resolve("sedgeyoke-cordons-" + config.name().replaceAll("[^A-Za-z0-9_-]", "_"));
    }

    /** Reads the stored cordons now and at short intervals, as another process may change them. */
    void start(EventLoop loop) {
        refresh(); // before the first client
        loop.scheduleWithFixedDelay(
                this::refresh, REFRESH_INTERVAL_MICROS, REFRESH_INTERVAL_MICROS, TimeUnit.MICROSECONDS);
    }

    private void refresh() {
        try {
            if (local.refresh()) {
                cordonsChanged();
            }
        } catch (IOException e) {
            log.line("cordons: file not loaded, keeping the previous cordons: " + e.getMessage());
        }
    }

    /** Cordons an upstream; false if the id is unknown or the cordon cannot be stored. */
    boolean cordon(String id) {
        return change(id, () -> local.cordon(id, clock.now()));
    }

    /** Uncordons an upstream; false if the id is unknown or the change cannot be stored. */
    boolean uncordon(String id) {
        return change(id, () -> local.uncordon(id));
    }

    private boolean change(String id, StoreChange change) {
        CordonSet before = local.cordons();
        if (!endpoints.contains(id) && !before.contains(id)) {
            return false;
        }
        try {
            boolean applied = change.apply();
            if (!before.equals(local.cordons())) {
                cordonsChanged();
            }
            return applied;
        } catch (IOException e) { // not accepted, as it would be lost at the next upgrade
            log.line("cordons: change rejected: " + e);
            return false;
        }
    }

    /** Replaces the set of upstreams that are cordoned for the whole fleet. */
    void setFleetWide(Set<String> upstreams) {
        CordonSet next = fleetWide.changedTo(upstreams, clock.now());
        if (!next.equals(fleetWide)) {
            fleetWide = next;
            cordonsChanged();
        }
    }

    private void cordonsChanged() {
        CordonSet all = local.cordons().union(fleetWide);
        log.line("cordons: " + (all.isEmpty() ? "none" : String.join(" ", all.ids())));
        endpoints.updateCordons(all); // first: nothing may be written to these upstreams once the policy reacts
        LoadBalancingPolicy.Cordons cordons = LoadBalancingPolicy.Cordons.of(all.sinceMicrosById());
        events.deliver(() -> events.policy().cordonsUpdated(clock.now(), cordons));
    }
}
