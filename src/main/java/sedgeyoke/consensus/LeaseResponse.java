package sedgeyoke.consensus;

/**
 * The answer to an ask.
 *
 * @param balancer whose
 * @param run of the ask
 * @param stamp of the ask
 * @param active the version in force
 * @param pending the version that is to take effect; 0 if there is none
 * @param leased false if it holds too old a version: it is to take the news and ask again
 */
public record LeaseResponse(String balancer, long run, long stamp, long active, long pending, boolean leased) {}
