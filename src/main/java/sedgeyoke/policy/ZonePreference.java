package sedgeyoke.policy;

import sedgeyoke.policy.LoadBalancingPolicy.Settings;

/** Weighs upstreams of the own zone higher, by the price of requests that leave it. */
final class ZonePreference {
    /** Added to the weight of the own zone for each point that a request to another zone costs. */
    private static final double CROSS_ZONE_WEIGHT = 80;

    private final int ownZone;
    private final double crossZonePrice;

    ZonePreference(Settings settings) {
        this.ownZone = settings.zone();
        this.crossZonePrice = settings.prices().crossZone();
    }

    /** The factor on the weight of an upstream: 1 in other zones. */
    double weight(UpstreamState upstream) {
        return isOwnZone(upstream) ? 1 + CROSS_ZONE_WEIGHT * crossZonePrice : 1;
    }

    /** Added to the factor of a zone that planners have us treat like ours: from 0, not at all, to 1. */
    double spilloverWeight(double nearness) {
        return nearness * CROSS_ZONE_WEIGHT * crossZonePrice;
    }

    /** Whether it is in the own zone, and leaving that has a price. */
    boolean isPreferred(UpstreamState upstream) {
        return weight(upstream) > 1;
    }

    private boolean isOwnZone(UpstreamState upstream) {
        return upstream.endpoint().zone() == ownZone;
    }
}
