package sedgeyoke.plan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** All upstreams, aggregated over the reports of all forwarders. */
final class UpstreamAggregate {
    /**
     * An upstream that no report has mentioned for this long is removed, because a replaced upstream gets a new id.
     */
    private static final long UPSTREAM_TIMEOUT_MICROS = 10_000_000;

    private static final long NEVER = Long.MIN_VALUE;

    private final int maxUpstreams;
    private final Map<String, AggregatedUpstream> byId = new LinkedHashMap<>();
    private final Map<String, Map<String, ForwarderContribution>> contributionsByForwarder = new HashMap<>();
    private long updatedAtMicros = NEVER;

    UpstreamAggregate(int maxUpstreams) {
        this.maxUpstreams = maxUpstreams;
    }

    List<AggregatedUpstream> upstreams() {
        return new ArrayList<>(byId.values());
    }

    /** Returns the upstream with that id, or null. */
    AggregatedUpstream get(String id) {
        return byId.get(id);
    }

    /** Adds a forwarder's report, which replaces its earlier reports of the same upstreams. */
    void addReport(long nowMicros, ForwarderReport report) {
        Map<String, ForwarderContribution> contributions =
                contributionsByForwarder.computeIfAbsent(report.forwarder(), name -> new HashMap<>());
        for (ForwarderReport.Load load : report.loads()) {
            AggregatedUpstream upstream = getOrCreate(load.upstream());
            if (upstream != null) {
                ForwarderContribution contribution = contributions.get(upstream.id());
                if (contribution == null) {
                    contribution = new ForwarderContribution(load.sent());
                    contributions.put(upstream.id(), contribution);
                }
                upstream.add(nowMicros, report.forwarder(), load, contribution);
            }
        }
    }

    /** Returns the upstream with that id, created if it is new; null if the maximum number of upstreams is reached. */
    private AggregatedUpstream getOrCreate(String id) {
        AggregatedUpstream upstream = byId.get(id);
        if (upstream == null && byId.size() < maxUpstreams) {
            upstream = new AggregatedUpstream(id);
            byId.put(id, upstream);
        }
        return upstream;
    }

    /** Removes all contributions of a forwarder that has stopped reporting or has restarted. */
    void removeForwarder(String forwarder) {
        Map<String, ForwarderContribution> contributions = contributionsByForwarder.remove(forwarder);
        if (contributions == null) {
            return;
        }
        contributions.forEach((id, contribution) -> {
            AggregatedUpstream upstream = byId.get(id);
            if (upstream != null) {
                upstream.remove(forwarder, contribution);
            }
        });
    }

    /**
     * Updates the capacity estimates, once for each round of plans, and removes upstreams that are no longer reported.
     */
    void updateCapacities(long nowMicros) {
        double seconds = updatedAtMicros == NEVER ? 0 : (nowMicros - updatedAtMicros) / 1e6;
        updatedAtMicros = nowMicros;
        byId.values().removeIf(upstream -> nowMicros - upstream.lastMentionedAtMicros() > UPSTREAM_TIMEOUT_MICROS);
        contributionsByForwarder
                .values()
                .forEach(contributions -> contributions.keySet().retainAll(byId.keySet()));
        for (AggregatedUpstream upstream : byId.values()) {
            upstream.updateCapacity(nowMicros, seconds);
        }
    }

    /**
     * Returns each zone's capacity in requests a second; an upstream of unknown capacity counts as the mean of the
     * known.
     */
    double[] zoneCapacities(int zones) {
        double mean = byId.values().stream()
                .mapToDouble(AggregatedUpstream::capacity)
                .filter(capacity -> capacity > 0)
                .average()
                .orElse(0);
        double[] capacities = new double[zones];
        for (AggregatedUpstream upstream : byId.values()) {
            boolean knownZone = upstream.zone() >= 0 && upstream.zone() < zones;
            if (knownZone && !upstream.draining() && upstream.hasRecentLoadReport(updatedAtMicros)) {
                capacities[upstream.zone()] += upstream.capacity() > 0 ? upstream.capacity() : mean;
            }
        }
        return capacities;
    }

    /** Returns the number of zones: one more than the highest zone number of any upstream. */
    int zones() {
        return byId.values().stream()
                .mapToInt(upstream -> upstream.zone() + 1)
                .max()
                .orElse(0);
    }
}
