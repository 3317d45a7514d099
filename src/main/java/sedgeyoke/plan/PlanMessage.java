package sedgeyoke.plan;

import java.util.List;

/**
 * A planner's plan for one forwarder, in answer to its last load report. Its times are microseconds of the planner's
 * monotonic clock.
 *
 * @param planner the planner's name
 * @param incarnation identifies the planner's process
 * @param sequence increases with each message of an incarnation
 * @param sentAtMicros when the message was sent
 * @param echo the stamp of the report that the message answers
 * @param coverage how many forwarders report to this planner
 * @param views aggregated load of some upstreams; the same list for all forwarders
 * @param spillover share of the requests of the forwarder's zone that is to go to each zone, by zone number
 * @param limitShares this forwarder's share of an upstream's total in-flight limit, by the upstream's zone
 * @param grantDurationMicros how long the grants are valid, counted from the time in {@code echo}
 * @param grants all slow-start quota that this planner grants to this forwarder
 */
public record PlanMessage(
        String planner,
        long incarnation,
        long sequence,
        long sentAtMicros,
        ForwarderReport.Stamp echo,
        int coverage,
        List<View> views,
        List<Double> spillover,
        List<Double> limitShares,
        long grantDurationMicros,
        List<Grant> grants) {

    /**
     * One upstream, aggregated over the reports of all forwarders.
     *
     * @param upstream its id
     * @param zone its zone
     * @param totalLimit sum of all forwarders' in-flight limits
     * @param launchedAtMicros the latest start that any forwarder reports
     * @param draining whether any forwarder reports that the upstream is draining
     */
    public record View(String upstream, int zone, double totalLimit, long launchedAtMicros, boolean draining) {}

    /**
     * Slow-start quota that the forwarder may use in addition to its own.
     *
     * @param upstream the cold upstream's id
     * @param launchedAtMicros the start of the process that the quota is for
     * @param rate mean requests a second
     */
    public record Grant(String upstream, long launchedAtMicros, double rate) {}
}
