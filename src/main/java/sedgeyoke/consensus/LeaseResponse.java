package sedgeyoke.consensus;

/**
 * The response to a {@link LeaseRequest}.
 *
 * @param balancer as in the request
 * @param incarnation as in the request
 * @param sentAtMicros as in the request
 * @param activeVersion the active version
 * @param pendingVersion the version that is to be activated; 0 if there is none
 * @param granted false if the balancer lacks the newest version: it has to take that and request again
 */
public record LeaseResponse(
        String balancer,
        long incarnation,
        long sentAtMicros,
        long activeVersion,
        long pendingVersion,
        boolean granted) {}
