package sedgeyoke.plan;

import java.util.List;

/**
 * A forwarder's load report to one planner. Its times are microseconds of the forwarder's monotonic clock, which is
 * meaningless to other processes: the planner only echoes {@code sentAtMicros}.
 *
 * @param forwarder the forwarder's name, unchanged by a restart
 * @param incarnation identifies the forwarder's process; no two processes have the same
 * @param sequence increases with each report of an incarnation
 * @param sentAtMicros when the report was sent
 * @param echo the stamp of the last plan received from the planner; {@link Stamp#NONE} if there is none
 * @param zone the forwarder's zone
 * @param leaseMicros lease of its deposits; the planner counts it from {@code echo}, which is earlier than this report
 * @param minGrantRate the smallest grant that it can use, in mean requests a second
 * @param demand requests a second that it receives, by request class
 * @param loads load of some upstreams; for the others the planner keeps the values of earlier reports
 * @param deposits own slow-start quota that the forwarder delegates to the planner and does not use until the lease
 *     expires
 */
public record ForwarderReport(
        String forwarder,
        long incarnation,
        long sequence,
        long sentAtMicros,
        Stamp echo,
        int zone,
        long leaseMicros,
        double minGrantRate,
        List<Double> demand,
        List<Load> loads,
        List<Deposit> deposits) {
    /** Maximum number of upstreams in one report. */
    public static final int MAX_LOADS = 128;
    /** Maximum number of deposits in one report. */
    public static final int MAX_DEPOSITS = 128;

    /**
     * Identifies a message by its sender's incarnation and the time at which it was sent.
     *
     * @param incarnation the sender's incarnation; 0 stands for no message
     * @param atMicros when it was sent, on the sender's clock
     */
    public record Stamp(long incarnation, long atMicros) {
        /** No message was received yet. */
        public static final Stamp NONE = new Stamp(0, 0);
    }

    /**
     * One upstream as the reporting forwarder sees it.
     *
     * @param upstream its id
     * @param zone its zone
     * @param draining whether this forwarder's endpoint list has it draining
     * @param launchedAtMicros start of its process according to discovery; 0 for long ago
     * @param inFlight attempts in flight from this forwarder
     * @param sent number of attempts since the forwarder first knew the upstream
     * @param limit this forwarder's in-flight limit for it
     * @param utilisation from the upstream's last load report; NaN without one
     * @param waiting number of requests queued at the upstream, from the same load report; NaN without one
     * @param reportAgeMicros age of that load report; negative without one
     * @param ejected whether this forwarder has ejected it
     */
    public record Load(
            String upstream,
            int zone,
            boolean draining,
            long launchedAtMicros,
            int inFlight,
            long sent,
            double limit,
            double utilisation,
            double waiting,
            long reportAgeMicros,
            boolean ejected) {}

    /**
     * Slow-start quota that a forwarder delegates to the planner.
     *
     * @param upstream the cold upstream's id
     * @param launchedAtMicros the start of the process that the quota is for
     * @param rate mean requests a second
     */
    public record Deposit(String upstream, long launchedAtMicros, double rate) {}

    /** Requests a second that the forwarder receives, of all classes. */
    double totalDemand() {
        double sum = 0;
        for (double classDemand : demand) {
            sum += classDemand;
        }
        return sum;
    }
}
