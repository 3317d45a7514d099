package sedgeyoke.consensus;

/**
 * The response to a {@link LeaseRequest}.
 *
 * @param balancer as in the request
 * @param incarnation as in the request
 * @param sentAtMicros as in the request
 * @param activeVersion the active version
 * @param pendingVersion the version that is to be activated; 0 if there is none
 * @param granted whether the lease is granted: not if the balancer lacks the newest version, which it has to get first,
 *     or if too many balancers hold a lease
 */
public record LeaseResponse(
        String balancer,
        long incarnation,
        long sentAtMicros,
        long activeVersion,
        long pendingVersion,
        boolean granted) {}
