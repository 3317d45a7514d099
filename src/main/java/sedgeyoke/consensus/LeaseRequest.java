package sedgeyoke.consensus;

/**
 * A balancer asks for a lease on what it holds.
 *
 * @param balancer its name, as in its certificate
 * @param run drawn at its start
 * @param stamp when it sent this, by its own clock
 * @param holds the newest version that it holds ready
 * @param schema the newest schema that it knows
 */
public record LeaseRequest(String balancer, long run, long stamp, long holds, int schema) {}
