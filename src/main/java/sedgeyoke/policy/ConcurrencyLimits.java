package sedgeyoke.policy;

/**
 * Adjusts the in-flight limit of an upstream: additive increase, multiplicative decrease (AIMD; Chiu and
 * Jain, 1989) on the time that responses waited there. A round of attempts cuts it once at most.
 */
final class ConcurrencyLimits {
    static final double MIN_LIMIT = 0.05;
    static final double WAIT_TARGET_SHARE = 0.28; // waiting time, as a share of the latency objective
    static final double MAX_LIMIT_FACTOR = 0.8; // a cut leaves at most and at least these shares
    private static final double MIN_LIMIT_FACTOR = 0.4;
    private static final double LIMIT_STEP = 0.3; // increase for a round of responses
    private static final double INITIAL_TOTAL_LIMIT = 3; // of a new upstream, over all balancers
    private static final double LEAST_TIME_DRIFT = Math.log(2) / 30e6; // doubles in half a minute

    private ConcurrencyLimits() {}

    static double initialLimit(int balancers) {
        return Math.max(MIN_LIMIT, INITIAL_TOTAL_LIMIT / balancers);
    }

    static void adjust(Attempt attempt, double wait, long objective, long now) {
        UpstreamState upstream = attempt.upstream;
        double target = WAIT_TARGET_SHARE * objective;
        if (wait > target) {
            if (attempt.sentAt >= upstream.limitCutAt) {
                double factor = Math.max(MIN_LIMIT_FACTOR, Math.min(MAX_LIMIT_FACTOR, target / wait));
                upstream.limit = Math.max(MIN_LIMIT, upstream.limit * factor);
                upstream.limitCutAt = now;
            }
        } else if (attempt.sentAtLimit) {
            upstream.limit += LIMIT_STEP * Math.min(upstream.limit, 1 / upstream.limit);
        }
    }

    /** A limit below one becomes a pause: with many balancers even one attempt from each is too much. */
    static void backOff(UpstreamState upstream, double duration, long now) {
        if (upstream.limit < 1) {
            long pause = (long) (duration * (1 / upstream.limit - 1));
            upstream.backOffUntil = Math.max(upstream.backOffUntil, now + pause);
        }
    }

    /** All beyond the least service time seen; the reported one rises with concurrency. */
    static double waitingTime(UpstreamState upstream, RequestState request, double duration, long now) {
        boolean hinted = request.request.expectedWork() > 0;
        double reported = upstream.report == null ? Double.NaN : upstream.report.serviceTimeMicros();
        double unhinted = reported > 0 ? reported : upstream.meanResponseTime;
        double sample = hinted ? duration / request.cost : unhinted;
        double drift = Math.exp((now - upstream.leastServiceTimeAt) * LEAST_TIME_DRIFT);
        double least = upstream.leastServiceTime;
        upstream.leastServiceTime = least == 0 ? sample : Math.min(sample, least * drift);
        upstream.leastServiceTimeAt = now;
        return duration - (hinted ? request.cost : 1) * upstream.leastServiceTime;
    }

    /** The service time of a request's hinted work, at this time for each unit; 0 without a hint. */
    static double hintedTime(RequestState request, double unitTime) {
        return request.request.expectedWork() > 0 ? request.cost * unitTime : 0;
    }
}
