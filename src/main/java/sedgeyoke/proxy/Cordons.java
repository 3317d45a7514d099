package sedgeyoke.proxy;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import sedgeyoke.policy.LoadBalancingPolicy;

/**
 * The upstreams that operators have taken out of service: at this balancer's admin endpoint, or for the whole fleet in
 * the config servers. Event loop only.
 */
final class Cordons {
    /** How soon a cordon set in one process of a balancer reaches the other one during an upgrade. */
    private static final long REFRESH_INTERVAL_MILLIS = 100;

    private final PolicyClock clock;
    private final PolicyEvents events;
    private final UpstreamConnectionPool pool;
    private final CordonStore local;
    private final RateLimitedLog log;
    /** By id, since when this process knows of it. */
    private Map<String, Long> fleetWide = Map.of();

    Cordons(
            PolicyClock clock,
            PolicyEvents events,
            UpstreamConnectionPool pool,
            CordonStore local,
            RateLimitedLog log) {
        this.clock = clock;
        this.events = events;
        this.pool = pool;
        this.local = local;
        this.log = log;
    }

    /** Reads the stored cordons, and again at short intervals as another process may change them. */
    void start(EventLoop loop) {
        refresh(); // before the first client
        loop.scheduleWithFixedDelay(
                this::refresh, REFRESH_INTERVAL_MILLIS, REFRESH_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void refresh() {
        try {
            if (local.refresh()) {
                changed();
            }
        } catch (IOException e) {
            log.line("cordons: the previous ones stay in force: " + e.getMessage());
        }
    }

    /** Cordons an upstream or ends that; false for an unknown id or where it cannot be stored. */
    boolean set(String id, boolean cordoned) {
        if (!pool.knows(id) && !local.out().containsKey(id)) {
            return false;
        }
        Map<String, Long> before = local.out();
        try {
            boolean done = local.set(id, cordoned, clock.now());
            if (!before.equals(local.out())) {
                changed();
            }
            return done;
        } catch (IOException e) { // it would be lost with the next upgrade, so it is not accepted
            log.line("cordons: " + e);
            return false;
        }
    }

    /** Takes over the ids that are cordoned for the whole fleet. */
    void setFleetWide(Set<String> upstreams) {
        Map<String, Long> next = new TreeMap<>();
        upstreams.forEach(id -> next.put(id, fleetWide.getOrDefault(id, clock.now())));
        if (!next.equals(fleetWide)) {
            fleetWide = next;
            changed();
        }
    }

    private void changed() {
        Map<String, Long> all = new TreeMap<>(local.out());
        fleetWide.forEach(all::putIfAbsent);
        log.line("cordons: " + (all.isEmpty() ? "none" : String.join(" ", all.keySet())));
        pool.updateCordons(all.keySet());
        LoadBalancingPolicy.Cordons cordons = LoadBalancingPolicy.Cordons.of(all);
        events.deliver(() -> events.policy().cordonsUpdated(clock.now(), cordons));
    }
}
