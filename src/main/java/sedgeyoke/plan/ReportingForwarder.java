package sedgeyoke.plan;

/** What a planner knows of one forwarder: its last report, and whether a plan has answered it. */
final class ReportingForwarder {
    private ForwarderReport lastReport;
    private long receivedAtMicros;
    private boolean answered;

    /** Replaces the last report by a newer one, which no plan has answered yet. */
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
