package sedgeyoke.plan;

/**
 * The attempt count and in-flight limit that one forwarder last reported for one upstream. They turn the totals of its
 * next report into differences.
 */
final class ForwarderContribution {
    private long sent;
    private double limit;

    /** Starts with the attempt count of the first report, because those attempts were sent at an unknown time. */
    ForwarderContribution(long sent) {
        this.sent = sent;
    }

    double limit() {
        return limit;
    }

    /** Stores the reported attempt count and returns how many attempts were sent since the previous report. */
    long updateSent(long reported) {
        long difference = Math.max(0, reported - sent);
        sent = reported;
        return difference;
    }

    /** Stores the reported limit and returns by how much it has changed since the previous report. */
    double updateLimit(double reported) {
        double difference = reported - limit;
        limit = reported;
        return difference;
    }
}
