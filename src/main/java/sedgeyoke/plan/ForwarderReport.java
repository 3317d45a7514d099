package sedgeyoke.plan;

import java.util.List;

/**
 * A forwarder's load report to one planner. Its times are microseconds of the forwarder's monotonic clock, which is
 * meaningless to other processes: the planner only echoes {@code sentAtMicros}.
 *
 * @param forwarder the forwarder's name, unchanged by a restart
 * @param incarnation identifies the forwarder's process; no two processes have the same
 * @param sequence rises with each report of an incarnation
 * @param sentAtMicros when the report was sent
 * @param echo the stamp of the last plan received from the planner; {@link Stamp#NONE} if there is none
 * @param zone the forwarder's zone
 * @param leaseMicros how long its deposits last, counted from before the report was sent
 * @param minGrantRate the smallest grant that it can use, in mean requests a second
 * @param demand requests a second that it receives, by request class
 * @param loads load of some upstreams; the planner keeps what earlier reports said of the others
 * @param deposits slow-start quota of its own that it delegates and does not use while the lease runs
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
    /** The largest number of upstreams in one report. */
    public static final int MAX_LOADS = 128;
    /** The largest number of deposits in one report. */
    public static final int MAX_DEPOSITS = 128;

    /**
     * Identifies a message by its sender's incarnation and the time at which it was sent.
     *
     * @param incarnation of the sender; 0 stands for no message
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
     * @param launchedAtMicros when its process started, as discovery says; 0 for long ago
     * @param inFlight attempts in flight from this forwarder
     * @param sent attempts since the forwarder knows the upstream
     * @param limit this forwarder's in-flight limit for it
     * @param utilisation of the upstream's last load report; NaN without one
     * @param waiting requests queued at the upstream, of the same load report; NaN without one
     * @param reportAgeMicros age of that load report; negative without one
     * @param ejected whether this forwarder avoids it at present
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

    /** Requests a second that reach the forwarder, of all classes. */
    double totalDemand() {
        double sum = 0;
        for (double classDemand : demand) {
            sum += classDemand;
        }
        return sum;
    }
}
