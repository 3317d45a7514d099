package sedgeyoke.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import sedgeyoke.policy.LoadBalancingPolicy.Cordons;
import sedgeyoke.policy.LoadBalancingPolicy.ListKind;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;
import sedgeyoke.policy.LoadBalancingPolicy.State;
import sedgeyoke.policy.LoadBalancingPolicy.Upstream;

/** Holds the upstreams of the endpoint list, and decides which are ready and in which order. */
final class UpstreamTable {
    /** Number of balancers that share one ring of upstreams; each starts at a different place of it. */
    private static final int RING_SHARERS = 8;

    private final int position;
    private final SlowStart slowStart;
    private final ConcurrencyLimits limits;
    private final ZonePreference zones;
    private final TrafficRegimeSelector regimes;
    private final Map<String, UpstreamState> upstreamsById = new LinkedHashMap<>();
    private final List<UpstreamState> ready = new ArrayList<>();
    private final List<UpstreamState> readyView = Collections.unmodifiableList(ready);
    private Cordons cordons = Cordons.NONE;
    private long listGeneration;

    UpstreamTable(
            Settings settings,
            SlowStart slowStart,
            ConcurrencyLimits limits,
            ZonePreference zones,
            TrafficRegimeSelector regimes) {
        this.position = settings.position();
        this.slowStart = slowStart;
        this.limits = limits;
        this.zones = zones;
        this.regimes = regimes;
    }

    /** Applies an update of the endpoint list. */
    void update(ListKind kind, List<Upstream> entries, long nowMicros) {
        if (kind != ListKind.CHANGES) {
            upstreamsById.keySet().retainAll(entries.stream().map(Upstream::id).collect(Collectors.toSet()));
        }
        slowStart.observeTimestamps(entries, nowMicros);
        entries.forEach(entry -> update(entry, nowMicros));
        if (kind != ListKind.RESTORED) {
            slowStart.startWatching();
        }
        // Removed upstreams stay in the list for a time; keeping them here as well would make their ids pile up.
        upstreamsById.values().removeIf(each -> each.endpoint().state() == State.REMOVED);
        orderReady();
    }

    private void update(Upstream entry, long nowMicros) {
        UpstreamState known = upstreamsById.get(entry.id());
        if (known == null || isOtherProcess(entry, known.endpoint())) {
            add(entry, slowStart.newState(entry, nowMicros));
        } else {
            known.update(entry);
        }
    }

    /**
     * A new launch timestamp means a new process, even if it is earlier: the clock that sets it may have been set back.
     */
    private static boolean isOtherProcess(Upstream entry, Upstream before) {
        return entry.launchedAtMicros() > 0 && entry.launchedAtMicros() != before.launchedAtMicros();
    }

    /** Adds a process with a new state, as nothing known of a previous process applies to it. */
    private void add(Upstream entry, SlowStart.State started) {
        String id = entry.id();
        double ringPosition = RendezvousHash.unit(position / RING_SHARERS, id.hashCode());
        upstreamsById.put(id, new UpstreamState(entry, ringPosition, limits.newState(), started));
    }

    /**
     * Replaces the cordons. An upstream whose cordon ends begins slow start now, as operators restart what they cordon,
     * unless it was launched after the cordon began.
     */
    void update(Cordons latest, long nowMicros) {
        Cordons before = cordons;
        cordons = latest;
        before.sinceMicrosById().forEach((id, sinceMicros) -> {
            UpstreamState known = upstreamsById.get(id);
            if (!latest.contains(id) && known != null && known.launchedAtMicros() <= sinceMicros) {
                add(known.endpoint(), slowStart.afterCordon(nowMicros));
            }
        });
        orderReady();
    }

    /** Puts the ready upstreams into this balancer's own order, in which those of its zone come sooner. */
    private void orderReady() {
        listGeneration++;
        ready.clear();
        upstreamsById.values().stream()
                .filter(each -> each.endpoint().state() == State.READY && !cordons.contains(each.id))
                .forEach(ready::add);
        ready.sort(Comparator.<UpstreamState>comparingDouble(each -> each.ringPosition)
                .thenComparing(each -> each.id));
        // Balancers that share a ring start at even distances, so that each upstream is in about as many apertures.
        Collections.rotate(ready, position % RING_SHARERS * ready.size() / RING_SHARERS);
        interleaveZones();
        regimes.setReadyUpstreams(ready.size());
    }

    /**
     * Interleaves the own zone and the others so that each prefix of the order has them in proportion to their weights.
     */
    private void interleaveZones() {
        int ownZone = 0;
        int otherZones = 0;
        Map<UpstreamState, Double> turns = new HashMap<>();
        for (UpstreamState upstream : ready) {
            int count = zones.isPreferred(upstream) ? ++ownZone : ++otherZones;
            turns.put(upstream, count / zones.weight(upstream));
        }
        ready.sort(Comparator.comparingDouble(turns::get));
    }

    /** The upstreams that may get requests, in this balancer's order. */
    List<UpstreamState> ready() {
        return readyView;
    }

    /** All upstreams of the list, in the order in which they were first listed. */
    Collection<UpstreamState> all() {
        return Collections.unmodifiableCollection(upstreamsById.values());
    }

    Optional<UpstreamState> find(String id) {
        return Optional.ofNullable(upstreamsById.get(id));
    }

    boolean isCordoned(UpstreamState upstream) {
        return cordons.contains(upstream.id);
    }

    /** Changes whenever the ready upstreams or their order may have changed. */
    long listGeneration() {
        return listGeneration;
    }
}
