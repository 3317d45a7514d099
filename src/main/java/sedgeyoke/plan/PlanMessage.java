package sedgeyoke.plan;

import java.util.List;

/**
 * What a planner tells one forwarder. Times are microseconds of the planner's monotonic clock.
 *
 * @param planner its name
 * @param incarnation of this process of it
 * @param sequence rises with each message to that forwarder
 * @param sentAt when it was sent
 * @param echo the forwarder's stamp on the report heard from it last
 * @param coverage how many forwarders report to this planner
 * @param views what is known of some upstreams; the same list for all forwarders
 * @param spill share of the requests of the forwarder's zone that is to go to each zone
 * @param limitShares this forwarder's part of an upstream's total in-flight limit, by the upstream's zone
 * @param grantFor how long the grants hold, in microseconds, counted from the echoed stamp
 * @param grants rights to send to cold upstreams, all that this planner grants to this forwarder
 */
public record PlanMessage(
        String planner,
        long incarnation,
        long sequence,
        long sentAt,
        ForwarderReport.Stamp echo,
        int coverage,
        List<View> views,
        List<Double> spill,
        List<Double> limitShares,
        long grantFor,
        List<Grant> grants) {

    /**
     * One upstream as the tier sees it.
     *
     * @param upstream its id
     * @param zone its zone
     * @param totalLimit in-flight limits of all forwarders together
     * @param launchedAt the latest start that any forwarder was told of
     * @param draining whether any forwarder was told that it drains
     */
    public record View(String upstream, int zone, double totalLimit, long launchedAt, boolean draining) {}

    /** A right of {@code rate} mean requests a second to an upstream that is cold since {@code launchedAt}. */
    public record Grant(String upstream, long launchedAt, double rate) {}
}
