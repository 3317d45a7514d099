package sedgeyoke.consensus;

/**
 * A balancer's request for a lease to act on the config.
 *
 * @param balancer its name, as in its certificate
 * @param incarnation drawn when its process started
 * @param sentAtMicros when it was sent, by the balancer's monotonic clock; the response echoes it
 * @param heldVersion the newest version that the balancer has
 * @param schemaVersion the newest schema that the balancer supports
 */
public record LeaseRequest(String balancer, long incarnation, long sentAtMicros, long heldVersion, int schemaVersion) {}
