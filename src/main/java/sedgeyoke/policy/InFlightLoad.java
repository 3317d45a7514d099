package sedgeyoke.policy;

/** What this balancer has in flight at one upstream. */
final class InFlightLoad {
    /** Load of a transfer, in requests: it occupies a connection but no core. */
    private static final double TRANSFER_LOAD = 0.1;

    private int attempts;
    private int transfers;
    private int openStreams;
    private double work;
    private long attemptsSent;

    /** Counts an attempt that was sent; {@code cost} is the cost of its request. */
    void begin(AttemptState attempt, double cost) {
        attemptsSent++;
        count(attempt, cost, 1);
    }

    /** Stops counting an attempt that ended. */
    void end(AttemptState attempt, double cost) {
        count(attempt, cost, -1);
    }

    /** Counts an attempt as a transfer from now on. */
    void becomeTransfer(AttemptState attempt, double cost) {
        count(attempt, cost, -1);
        attempt.transfer = true;
        count(attempt, cost, 1);
    }

    /**
     * Counts, once, an attempt whose response is being streamed. Transfers and ended attempts are left out, as
     * {@link #awaitsResponse} does not count them either.
     */
    void beginStream(AttemptState attempt) {
        if (attempt.streaming) {
            return;
        }
        attempt.streaming = true;
        openStreams += attempt.transfer || !attempt.outstanding ? 0 : 1;
    }

    private void count(AttemptState attempt, double cost, int sign) {
        if (attempt.transfer) {
            transfers += sign;
            return;
        }
        attempts += sign;
        work += sign * cost;
        openStreams += attempt.streaming ? sign : 0;
    }

    /** Attempts that the upstream may be working on, without transfers. */
    int attempts() {
        return attempts;
    }

    /** Number of attempts that were ever sent to the upstream. */
    long attemptsSent() {
        return attemptsSent;
    }

    /** The total cost of the attempts that the upstream may be working on. */
    double work() {
        return work;
    }

    /** Whether an attempt is in flight whose response has not started. */
    boolean awaitsResponse() {
        return attempts > openStreams;
    }

    /** The load in mean requests, half by number and half by cost, as one expensive request delays many others. */
    double inMeanRequests(double meanRequestCost) {
        double units = Math.max(0, work) / Math.max(meanRequestCost, 1);
        return (attempts + units) / 2 + TRANSFER_LOAD * transfers;
    }
}
