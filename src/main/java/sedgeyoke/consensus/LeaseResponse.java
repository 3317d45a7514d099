package sedgeyoke.consensus;

/**
 * The answer to an ask.
 *
 * @param balancer whose
 * @param incarnation of the ask
 * @param sentAtMicros of the ask
 * @param activeVersion the version in force
 * @param pendingVersion the version that is to take effect; 0 if there is none
 * @param granted false if it holds too old a version: it is to take the news and ask again
 */
public record LeaseResponse(
        String balancer,
        long incarnation,
        long sentAtMicros,
        long activeVersion,
        long pendingVersion,
        boolean granted) {}
