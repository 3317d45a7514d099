package sedgeyoke.plan;

import java.util.List;

/**
 * What a forwarder tells a planner. Times are microseconds of the forwarder's monotonic clock, which says nothing to
 * anyone else: the planner only gives {@code sentAt} back.
 *
 * @param forwarder its name, the same after a restart
 * @param incarnation of this process of it; no two have the same
 * @param sequence rises with each report of an incarnation
 * @param sentAt when it was sent
 * @param echo the planner's stamp on the plan heard from it last; {@link Stamp#NONE} if there is none
 * @param zone the forwarder's zone
 * @param lease how long its deposits hold, in microseconds, counted from before the report was sent
 * @param leastGrant a grant smaller than that is of no use to it, in mean requests a second
 * @param demand requests a second that reach it, by class
 * @param loads how it stands with some upstreams; a report has room for so many, and the others keep what was told
 * @param deposits rights of its own that it will not use while the lease runs
 */
public record ForwarderReport(
        String forwarder,
        long incarnation,
        long sequence,
        long sentAt,
        Stamp echo,
        int zone,
        long lease,
        double leastGrant,
        List<Double> demand,
        List<Load> loads,
        List<Deposit> deposits) {
    /** The most upstreams in one report. */
    public static final int MOST_LOADS = 128;
    /** The most deposits in one report. */
    public static final int MOST_DEPOSITS = 128;

    /**
     * When a message was sent, by its sender's clock, and by which process of it.
     *
     * @param incarnation of the sender; 0 for no message at all
     * @param at the sender's time
     */
    public record Stamp(long incarnation, long at) {
        /** Nothing was heard yet. */
        public static final Stamp NONE = new Stamp(0, 0);
    }

    /**
     * How a forwarder stands with one upstream.
     *
     * @param upstream its id
     * @param zone its zone
     * @param draining whether discovery told this forwarder that it drains
     * @param launchedAt its start as discovery names it; 0 for long ago
     * @param inFlight attempts out
     * @param sent attempts since it is known
     * @param limit the forwarder's in-flight limit
     * @param utilisation as last reported; NaN without a report
     * @param waiting of the same report; NaN without
     * @param age of that report, in microseconds; negative without one
     * @param ejected whether the forwarder keeps off it for now
     */
    public record Load(
            String upstream,
            int zone,
            boolean draining,
            long launchedAt,
            int inFlight,
            long sent,
            double limit,
            double utilisation,
            double waiting,
            long age,
            boolean ejected) {}

    /** A right of {@code rate} mean requests a second to send to an upstream that is cold since {@code launchedAt}. */
    public record Deposit(String upstream, long launchedAt, double rate) {}
}
