package sedgeyoke.plan;

/**
 * A forwarder that may get a grant on the upstreams of one zone.
 *
 * @param forwarder its name
 * @param minGrantRate minimum rate of a grant that it can use, in mean requests a second
 * @param weight its demand times the affinity of its zone to the upstreams' zone
 * @param expiresAtMicros when a grant that it gets now would expire, on the planner's clock
 */
record GrantCandidate(String forwarder, double minGrantRate, double weight, long expiresAtMicros) {}
