package sedgeyoke.policy;

import sedgeyoke.policy.LoadBalancingPolicy.LoadReport;
import sedgeyoke.policy.LoadBalancingPolicy.RequestClass;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;

/**
 * Limits the requests in flight at each upstream: additive increase, multiplicative decrease (AIMD; Chiu and
 * Jain, 1989) on the time that responses waited there. This class alone writes a limit and a pause.
 */
final class ConcurrencyLimits {
    private static final double MIN_LIMIT = 0.05;
    /** In-flight limit of a new upstream, over all balancers. */
    private static final double INITIAL_TOTAL_LIMIT = 3;
    /** Waiting time that is aimed at, as a share of the latency objective. */
    private static final double WAIT_TARGET_SHARE = 0.28;
    /** Added to a limit of one by a round of responses. */
    private static final double INCREASE = 0.3;
    /** Shares of a limit that a decrease leaves at most and at least. */
    private static final double WEAKEST_DECREASE = 0.8;

    private static final double STRONGEST_DECREASE = 0.4;
    /** Growth of the least service time for each microsecond: it doubles in half a minute. */
    private static final double LEAST_TIME_DRIFT = Math.log(2) / 30e6;

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
        /** For one unit of hinted work, or for one request without a hint. */
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

    /** The limit of a new upstream: the balancers share what it can take. */
    State newState() {
        return new State(Math.max(MIN_LIMIT, INITIAL_TOTAL_LIMIT / balancers));
    }

    /** The waiting time that is aimed at for a request with the shortest latency objective. */
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

    /** Whether one attempt more would exceed its limit; below 1, whether a pause has only just ended. */
    boolean isAtLimit(UpstreamState upstream, long nowMicros) {
        State state = upstream.concurrency;
        if (state.limit < 1) {
            return nowMicros - state.pausedUntilMicros < responseTimes.meanMicros(upstream);
        }
        return upstream.inFlight.attempts() + 1 > state.limit;
    }

    /** Takes in the duration of a successful response. */
    void recordSuccess(RequestState request, AttemptState attempt, double durationMicros, long nowMicros) {
        UpstreamState upstream = attempt.upstream;
        double waitedMicros = waitingTime(upstream, request, durationMicros, nowMicros);
        // With idle cores, a long response was long work.
        boolean idleCores = reports.reportsIdleCores(upstream, nowMicros);
        adjust(request, attempt, idleCores ? 0 : waitedMicros, nowMicros);
        pauseBelowOne(upstream, durationMicros, nowMicros);
    }

    /** Takes in an attempt without a response: all its time counts as waiting, as the work may still run. */
    void recordNoResponse(RequestState request, AttemptState attempt, long durationMicros, long nowMicros) {
        State state = attempt.upstream.concurrency;
        double workMicros = request.hasWorkHint() ? request.cost * state.leastServiceTimeMicros : 0;
        adjust(request, attempt, durationMicros - workMicros, nowMicros);
        pauseBelowOne(attempt.upstream, (double) durationMicros, nowMicros);
    }

    /** Takes in a rejection: what is in flight there is more than the upstream can take. */
    void recordRejection(UpstreamState upstream, long nowMicros) {
        State state = upstream.concurrency;
        double used = Math.min(state.limit, upstream.inFlight.attempts() + 1);
        state.limit = Math.max(MIN_LIMIT, used * WEAKEST_DECREASE);
        if (regimes.current().limitsInFlight()) {
            pauseBelowOne(upstream, responseTimes.meanMicros(), nowMicros);
        } else {
            state.pausedUntilMicros = nowMicros + (long) responseTimes.meanMicros();
        }
    }

    /** Takes in a refused connection of an upstream that responds: it is out of connections. */
    void recordConnectionRefused(UpstreamState upstream) {
        State state = upstream.concurrency;
        state.limit = Math.min(state.limit, Math.max(1, upstream.inFlight.attempts()));
    }

    /** A round of attempts decreases the limit once at most. */
    private void adjust(RequestState request, AttemptState attempt, double waitedMicros, long nowMicros) {
        State state = attempt.upstream.concurrency;
        double target = WAIT_TARGET_SHARE * request.requestClass.latencyObjectiveMicros();
        if (waitedMicros > target) {
            if (attempt.sentAtMicros >= state.decreasedAtMicros) {
                double factor = Math.max(STRONGEST_DECREASE, Math.min(WEAKEST_DECREASE, target / waitedMicros));
                state.limit = Math.max(MIN_LIMIT, state.limit * factor);
                state.decreasedAtMicros = nowMicros;
            }
        } else if (attempt.sentAtLimit) {
            state.limit += INCREASE * Math.min(state.limit, 1 / state.limit);
        }
    }

    /** A limit below one becomes a pause: with many balancers, even one attempt from each is too much. */
    private void pauseBelowOne(UpstreamState upstream, double durationMicros, long nowMicros) {
        State state = upstream.concurrency;
        if (state.limit < 1 && regimes.current().limitsInFlight()) {
            long pauseMicros = (long) (durationMicros * (1 / state.limit - 1));
            state.pausedUntilMicros = Math.max(state.pausedUntilMicros, nowMicros + pauseMicros);
        }
    }

    /** Updates the least service time and returns the time beyond it; the reported one rises with load. */
    private double waitingTime(UpstreamState upstream, RequestState request, double durationMicros, long nowMicros) {
        State state = upstream.concurrency;
        double units = request.hasWorkHint() ? request.cost : 1;
        double sample = request.hasWorkHint() ? durationMicros / request.cost : serviceTime(upstream);
        double drift = Math.exp((nowMicros - state.leastServiceTimeAtMicros) * LEAST_TIME_DRIFT);
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
