package sedgeyoke.consensus;

/**
 * A balancer's request for a lease, under which it may use the active version and any pending one.
 *
 * @param balancer the balancer's name, as in its certificate
 * @param incarnation random id of the balancer's process
 * @param sentAtMicros when it was sent, by the balancer's monotonic clock; the response echoes it
 * @param heldVersion the newest version that the balancer has
 * @param schemaVersion the newest version of {@link ConfigSchema} that the balancer supports
 */
public record LeaseRequest(String balancer, long incarnation, long sentAtMicros, long heldVersion, int schemaVersion) {}
