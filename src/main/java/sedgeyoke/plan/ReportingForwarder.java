package sedgeyoke.plan;

/** A forwarder as a planner knows it: its last report, and whether that has been answered. */
final class ReportingForwarder {
    private ForwarderReport lastReport;
    private long receivedAtMicros;
    private boolean answered;

    /** Replaces the last report by a newer one, which is still to be answered. */
    void receive(long nowMicros, ForwarderReport report) {
        lastReport = report;
        receivedAtMicros = nowMicros;
        answered = false;
    }

    void markAnswered() {
        answered = true;
    }

    String name() {
        return lastReport.forwarder();
    }

    int zone() {
        return lastReport.zone();
    }

    double demand() {
        return lastReport.totalDemand();
    }

    ForwarderReport lastReport() {
        return lastReport;
    }

    long receivedAtMicros() {
        return receivedAtMicros;
    }

    boolean answered() {
        return answered;
    }

    boolean isNewer(ForwarderReport report) {
        return report.incarnation() != lastReport.incarnation() || report.sequence() > lastReport.sequence();
    }
}
