package sedgeyoke.policy;

import java.util.List;
import java.util.Optional;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;

/**
 * Prefers one upstream for all requests of an affinity key, as its cache is warm for them. All balancers choose the
 * same one, by rendezvous hashing (Thaler and Ravishankar, 1998).
 */
final class KeyAffinity {
    /** Factor on the hash weight of upstreams in the own zone. */
    private static final double OWN_ZONE_WEIGHT = 4;

    private final boolean enabled;
    private final UpstreamTable upstreams;
    private final UpstreamRatings ratings;
    private final ZonePreference zones;
    private final LoadReports reports;
    private final TrafficRegimeSelector regimes;

    KeyAffinity(
            Settings settings,
            UpstreamTable upstreams,
            UpstreamRatings ratings,
            ZonePreference zones,
            LoadReports reports,
            TrafficRegimeSelector regimes) {
        this.enabled = settings.keyAffinity();
        this.upstreams = upstreams;
        this.ratings = ratings;
        this.zones = zones;
        this.reports = reports;
        this.regimes = regimes;
    }

    /** The affinity upstream of a request, cached as long as the ready upstreams are the same. */
    static final class CachedUpstream {
        private UpstreamState upstream;
        private long listGeneration = -1;
    }

    boolean isEnabled() {
        return enabled;
    }

    /** The affinity upstream of the request, or the next best for its key if that one is not healthy. */
    Optional<UpstreamState> upstream(RequestState request, long nowMicros) {
        String key = request.request.affinityKey();
        if (!enabled || key == null) {
            return Optional.empty();
        }
        CachedUpstream cached = request.affinity;
        if (cached.listGeneration != upstreams.listGeneration()) {
            cached.listGeneration = upstreams.listGeneration();
            cached.upstream = highestScore(key, upstreams.ready());
        }
        if (cached.upstream == null || isHealthy(cached.upstream, nowMicros)) {
            return Optional.ofNullable(cached.upstream);
        }
        List<UpstreamState> healthy = upstreams.ready().stream()
                .filter(each -> isHealthy(each, nowMicros))
                .toList();
        return Optional.ofNullable(highestScore(key, healthy));
    }

    private boolean isHealthy(UpstreamState upstream, long nowMicros) {
        double errorRate = upstream.outlier.errorRate();
        return regimes.current().suitsAffinity(errorRate, reports, upstream, nowMicros)
                && !OutlierDetection.isEjected(upstream, nowMicros);
    }

    private UpstreamState highestScore(String key, List<UpstreamState> candidates) {
        UpstreamState best = null;
        double highest = Double.NEGATIVE_INFINITY;
        for (UpstreamState upstream : candidates) {
            double zoneWeight = zones.isPreferred(upstream) ? OWN_ZONE_WEIGHT : 1;
            double weight = ratings.rating(upstream) * zoneWeight;
            double score = RendezvousHash.score(weight, key.hashCode(), upstream.id.hashCode());
            if (score > highest) {
                highest = score;
                best = upstream;
            }
        }
        return best;
    }
}
