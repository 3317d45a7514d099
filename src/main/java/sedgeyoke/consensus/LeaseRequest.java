package sedgeyoke.consensus;

/**
 * A balancer asks for a lease on what it holds.
 *
 * @param balancer its name, as in its certificate
 * @param incarnation drawn at its start
 * @param sentAtMicros when it sent this, by its own clock
 * @param heldVersion the newest version that it holds ready
 * @param schemaVersion the newest schema that it knows
 */
public record LeaseRequest(String balancer, long incarnation, long sentAtMicros, long heldVersion, int schemaVersion) {}
