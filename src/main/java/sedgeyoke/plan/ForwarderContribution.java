package sedgeyoke.plan;

/** What one forwarder has last reported of one upstream, from which its next report's differences are taken. */
final class ForwarderContribution {
    private long sent;
    private double limit;

    /** Starts with the count of the first report, as it includes attempts of an unknown past. */
    ForwarderContribution(long sent) {
        this.sent = sent;
    }

    double limit() {
        return limit;
    }

    /** Returns how many attempts were sent since the last report. */
    long updateSent(long reported) {
        long difference = Math.max(0, reported - sent);
        sent = reported;
        return difference;
    }

    /** Returns by how much the limit has changed since the last report. */
    double updateLimit(double reported) {
        double difference = reported - limit;
        limit = reported;
        return difference;
    }
}
