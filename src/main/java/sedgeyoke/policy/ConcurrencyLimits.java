package sedgeyoke.policy;

import sedgeyoke.policy.LoadBalancingPolicy.LoadReport;
import sedgeyoke.policy.LoadBalancingPolicy.RequestClass;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;

/**
 * Limits the requests in flight at each upstream by additive increase, multiplicative decrease (AIMD; Chiu and Jain,
 * 1989), based on the time that responses waited there. Only this class changes limits and pauses.
 */
final class ConcurrencyLimits {
    private static final double MIN_LIMIT = 0.05;
    /** In-flight limit of a new upstream, over all balancers. */
    private static final double INITIAL_TOTAL_LIMIT = 3;
    /** Target waiting time, as a share of the latency objective. */
    private static final double WAIT_TARGET_SHARE = 0.28;
    /** What one round of responses adds to a limit of 1 or more. */
    private static final double INCREASE = 0.3;
    /** Largest and smallest share of a limit that remains after a decrease. */
    private static final double MAX_REMAINING_SHARE = 0.8;

    private static final double MIN_REMAINING_SHARE = 0.4;
    /** Growth rate of the least service time per microsecond without a lower sample: it doubles in 30 s. */
    private static final double LEAST_TIME_DRIFT = StrictMath.log(2) / 30e6;

    private final int balancers;
    private final TrafficRegimeSelector regimes;
    private final ResponseTimes responseTimes;
    private final LoadReports reports;
    private final SlowStart slowStart;

    ConcurrencyLimits(
            Settings settings,
            TrafficRegimeSelector regimes,
            ResponseTimes responseTimes,
            LoadReports reports,
            SlowStart slowStart) {
        this.balancers = settings.groupSize();
        this.regimes = regimes;
        this.responseTimes = responseTimes;
        this.reports = reports;
        this.slowStart = slowStart;
    }

    /** The limit of one upstream. */
    static final class State {
        private double limit;
        private long pausedUntilMicros;
        private long decreasedAtMicros;
        /** Of one unit of hinted work, or of one request without a hint. */
        private double leastServiceTimeMicros;

        private long leastServiceTimeAtMicros;

        private State(double limit) {
            this.limit = limit;
        }

        /** Requests that may be in flight from this balancer; below 1, a pause follows each of them. */
        double limit() {
            return limit;
        }

        /** The least service time of one unit of hinted work, or of one request; 0 before a response. */
        double leastServiceTimeMicros() {
            return leastServiceTimeMicros;
        }
    }

    /** The limit of a new upstream: our part of the initial limit, which is divided among all balancers. */
    State newState() {
        return new State(Math.max(MIN_LIMIT, INITIAL_TOTAL_LIMIT / balancers));
    }

    /** The target waiting time of a request with the shortest latency objective. */
    static long leastWaitTargetMicros(Settings settings) {
        long leastObjective = settings.classes().stream()
                .mapToLong(RequestClass::latencyObjectiveMicros)
                .min()
                .orElse(Long.MAX_VALUE);
        return (long) (WAIT_TARGET_SHARE * leastObjective);
    }

    /** Whether the upstream may be sent another attempt now. */
    boolean hasCapacity(UpstreamState upstream, long nowMicros) {
        State state = upstream.concurrency;
        if (nowMicros < state.pausedUntilMicros) {
            return false;
        }
        if (!regimes.current().limitsInFlight()) {
            return true;
        }
        double limit = state.limit * upstream.plan.limitFactor() * slowStart.warmUpFactor(upstream, nowMicros);
        return upstream.inFlight.attempts() + 1 <= Math.max(1, limit);
    }

    /**
     * Whether one attempt more would exceed the limit; for a limit below 1, whether a pause ended less than a response
     * time ago.
     */
    boolean isAtLimit(UpstreamState upstream, long nowMicros) {
        State state = upstream.concurrency;
        if (state.limit < 1) {
            return nowMicros - state.pausedUntilMicros < responseTimes.meanMicros(upstream);
        }
        return upstream.inFlight.attempts() + 1 > state.limit;
    }

    /** Adjusts the limit after a successful response. */
    void recordSuccess(RequestState request, AttemptState attempt, double durationMicros, long nowMicros) {
        UpstreamState upstream = attempt.upstream;
        double waitedMicros = waitingTime(upstream, request, durationMicros, nowMicros);
        // If the upstream has idle cores, the response was slow because of its work, not because it waited.
        boolean idleCores = reports.reportsIdleCores(upstream, nowMicros);
        adjust(request, attempt, idleCores ? 0 : waitedMicros, nowMicros);
        pauseBelowOne(upstream, durationMicros, nowMicros);
    }

    /**
     * Adjusts the limit after an attempt without a response. Apart from hinted work, all of its duration counts as
     * waiting, as the upstream may still be working on it.
     */
    void recordNoResponse(RequestState request, AttemptState attempt, long durationMicros, long nowMicros) {
        State state = attempt.upstream.concurrency;
        double workMicros = request.hasWorkHint() ? request.cost * state.leastServiceTimeMicros : 0;
        adjust(request, attempt, durationMicros - workMicros, nowMicros);
        pauseBelowOne(attempt.upstream, (double) durationMicros, nowMicros);
    }

    /** Lowers the limit after a rejection: the upstream cannot take what it has in flight. */
    void recordRejection(UpstreamState upstream, long nowMicros) {
        State state = upstream.concurrency;
        double used = Math.min(state.limit, upstream.inFlight.attempts() + 1);
        state.limit = Math.max(MIN_LIMIT, used * MAX_REMAINING_SHARE);
        if (regimes.current().limitsInFlight()) {
            pauseBelowOne(upstream, responseTimes.meanMicros(), nowMicros);
        } else {
            state.pausedUntilMicros = nowMicros + (long) responseTimes.meanMicros();
        }
    }

    /** Lowers the limit after a refused connection of an upstream that responds: it has run out of connections. */
    void recordConnectionRefused(UpstreamState upstream) {
        State state = upstream.concurrency;
        state.limit = Math.min(state.limit, Math.max(1, upstream.inFlight.attempts()));
    }

    /** Raises or lowers the limit. Attempts sent before the last decrease do not lower it again. */
    private void adjust(RequestState request, AttemptState attempt, double waitedMicros, long nowMicros) {
        State state = attempt.upstream.concurrency;
        double target = WAIT_TARGET_SHARE * request.requestClass.latencyObjectiveMicros();
        if (waitedMicros > target) {
            if (attempt.sentAtMicros >= state.decreasedAtMicros) {
                double factor = Math.max(MIN_REMAINING_SHARE, Math.min(MAX_REMAINING_SHARE, target / waitedMicros));
                state.limit = Math.max(MIN_LIMIT, state.limit * factor);
                state.decreasedAtMicros = nowMicros;
            }
        } else if (attempt.sentAtLimit) {
            state.limit += INCREASE * Math.min(state.limit, 1 / state.limit);
        }
    }

    /** Pauses an upstream whose limit is below 1: with many balancers, even one attempt from each is too much. */
    private void pauseBelowOne(UpstreamState upstream, double durationMicros, long nowMicros) {
        State state = upstream.concurrency;
        if (state.limit < 1 && regimes.current().limitsInFlight()) {
            long pauseMicros = (long) (durationMicros * (1 / state.limit - 1));
            state.pausedUntilMicros = Math.max(state.pausedUntilMicros, nowMicros + pauseMicros);
        }
    }

    /**
     * Updates the least service time and returns by how much the duration exceeds it. The least one is used because the
     * reported service time rises with load.
     */
    private double waitingTime(UpstreamState upstream, RequestState request, double durationMicros, long nowMicros) {
        State state = upstream.concurrency;
        double units = request.hasWorkHint() ? request.cost : 1;
        double sample = request.hasWorkHint() ? durationMicros / request.cost : serviceTime(upstream);
        double drift = StrictMath.exp((nowMicros - state.leastServiceTimeAtMicros) * LEAST_TIME_DRIFT);
        double least = state.leastServiceTimeMicros;
        state.leastServiceTimeMicros = least == 0 ? sample : Math.min(sample, least * drift);
        state.leastServiceTimeAtMicros = nowMicros;
        return durationMicros - units * state.leastServiceTimeMicros;
    }

    private double serviceTime(UpstreamState upstream) {
        LoadReport report = upstream.reports.latest();
        double reported = report == null ? Double.NaN : report.serviceTimeMicros();
        return reported > 0 ? reported : responseTimes.meanMicros(upstream);
    }
}
