package sedgeyoke.policy;

import sedgeyoke.policy.LoadBalancingPolicy.Settings;

/** Gives upstreams of the own zone more weight, depending on the price of requests to other zones. */
final class ZonePreference {
    /** Added to the weight of the own zone for each point that a request to another zone costs. */
    private static final double CROSS_ZONE_WEIGHT = 80;

    private final int ownZone;
    private final double crossZonePrice;

    ZonePreference(Settings settings) {
        this.ownZone = settings.zone();
        this.crossZonePrice = settings.prices().crossZone();
    }

    /** The factor on the weight of an upstream; 1 in other zones. */
    double weight(UpstreamState upstream) {
        return isOwnZone(upstream) ? 1 + CROSS_ZONE_WEIGHT * crossZonePrice : 1;
    }

    /** What to add to the factor of a zone that a plan treats like ours: {@code nearness} 0 is not at all, 1 fully. */
    double spilloverWeight(double nearness) {
        return nearness * CROSS_ZONE_WEIGHT * crossZonePrice;
    }

    /** Whether the upstream is in the own zone and requests to other zones have a price. */
    boolean isPreferred(UpstreamState upstream) {
        return weight(upstream) > 1;
    }

    private boolean isOwnZone(UpstreamState upstream) {
        return upstream.endpoint().zone() == ownZone;
    }
}
