package sedgeyoke.plan;

/**
 * A forwarder that may get a grant on the upstreams of one zone.
 *
 * @param forwarder its name
 * @param minGrantRate the smallest grant that it can use, in mean requests a second
 * @param weight its demand, weighted by its zone's affinity to the upstreams' zone
 * @param expiresAtMicros when a grant to it would have expired, on the planner's clock
 */
record GrantCandidate(String forwarder, double minGrantRate, double weight, long expiresAtMicros) {}
