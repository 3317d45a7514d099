package sedgeyoke.policy;

import java.util.List;
import sedgeyoke.policy.LoadBalancingPolicy.Effect;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;

/** Ejects hanging and failing upstreams for a while; the terms are those of Envoy's outlier detection. */
final class OutlierDetection {
    /** Weight of one attempt in the error rate of its upstream. */
    static final double ERROR_SMOOTHING = 0.15;
    /** Error rate above which an upstream counts as failing. */
    static final double FAILING_ERROR_RATE = 0.5;

    /** Time of a first ejection; it doubles with each ejection in a row. */
    private static final long BASE_EJECTION_MICROS = 1_000_000;

    private static final long MAX_EJECTION_MICROS = 8_000_000;
    /** If ejections leave a smaller share of the ready upstreams than this, all ejections are ignored. */
    private static final double PANIC_THRESHOLD = 0.4;
    /** An upstream hangs if it makes no progress for this many typical response times. */
    private static final double HANG_FACTOR = 6;
    /** Factor on the weight of an upstream from its ejection until an attempt succeeds. */
    private static final double RECOVERING_WEIGHT = 0.3;
    /** As {@link #RECOVERING_WEIGHT}, for requests that must not run twice: if they fail, they cannot be retried. */
    private static final double RECOVERING_WEIGHT_UNSAFE = 0.02;

    /** Exponent on the share of successful attempts in the weight. */
    private static final double SUCCESS_EXPONENT = 2;

    private final TrafficRegimeSelector regimes;
    private final ResponseTimes responseTimes;
    private final long leastHangMicros;

    OutlierDetection(Settings settings, TrafficRegimeSelector regimes, ResponseTimes responseTimes) {
        this.regimes = regimes;
        this.responseTimes = responseTimes;
        this.leastHangMicros = ConcurrencyLimits.leastWaitTargetMicros(settings);
    }

    /** The health of one upstream. */
    static final class State {
        private double errorRate;
        private long lastProgressMicros;
        private long lastResponseMicros = Long.MIN_VALUE / 2;
        private boolean hanging;
        private long ejectedUntilMicros;
        private long nextEjectionMicros = BASE_EJECTION_MICROS;

        /** The share of recent attempts that failed. */
        double errorRate() {
            return errorRate;
        }

        /** Whether the upstream was ejected and no attempt has succeeded since. */
        private boolean recovering() {
            return nextEjectionMicros > BASE_EJECTION_MICROS;
        }
    }

    /**
     * To be called before an attempt is counted: an upstream with nothing else in flight is idle until now, not
     * hanging.
     */
    void attemptStarting(UpstreamState upstream, long nowMicros) {
        if (upstream.inFlight.attempts() == 0) {
            upstream.outlier.lastProgressMicros = nowMicros;
        }
    }

    void recordSuccess(UpstreamState upstream, long nowMicros) {
        State state = upstream.outlier;
        state.lastProgressMicros = nowMicros;
        state.lastResponseMicros = nowMicros;
        state.hanging = false;
        state.ejectedUntilMicros = 0;
        state.nextEjectionMicros = BASE_EJECTION_MICROS;
        state.errorRate *= 1 - ERROR_SMOOTHING;
    }

    /** Records an error response or a reset connection. */
    void recordError(UpstreamState upstream, Outcome outcome, long nowMicros) {
        State state = upstream.outlier;
        state.lastProgressMicros = nowMicros;
        state.errorRate += regimes.current().errorWeight(outcome) * (1 - state.errorRate);
        if (state.errorRate > FAILING_ERROR_RATE && regimes.current().ejectsByErrorRate()) {
            eject(upstream, nowMicros);
        }
    }

    /** Whether the upstream has responded since the attempt was sent, and so is up. */
    boolean hasRespondedSince(AttemptState attempt) {
        return attempt.upstream.outlier.lastResponseMicros >= attempt.sentAtMicros;
    }

    /** Ejects an upstream, unless it is ejected already. */
    void eject(UpstreamState upstream, long nowMicros) {
        State state = upstream.outlier;
        if (state.ejectedUntilMicros <= nowMicros) {
            state.ejectedUntilMicros = nowMicros + state.nextEjectionMicros;
            state.nextEjectionMicros = Math.min(MAX_EJECTION_MICROS, state.nextEjectionMicros * 2);
        }
    }

    /** Ejects upstreams that have responses outstanding and made no progress for many response times. */
    void ejectHanging(List<UpstreamState> upstreams, long nowMicros) {
        for (UpstreamState upstream : upstreams) {
            State state = upstream.outlier;
            boolean expectsProgress = !state.hanging && upstream.inFlight.awaitsResponse();
            long withoutProgressMicros = nowMicros - state.lastProgressMicros;
            if (expectsProgress && withoutProgressMicros > hangMicros(upstream)) {
                state.hanging = true;
                eject(upstream, nowMicros);
            }
        }
    }

    private double hangMicros(UpstreamState upstream) {
        double longerMean = Math.max(responseTimes.meanMicros(upstream), responseTimes.meanMicros());
        double typical = Math.max(longerMean, (double) leastHangMicros);
        double unitMicros = Math.max(1, upstream.concurrency.leastServiceTimeMicros());
        return HANG_FACTOR * typical + upstream.inFlight.work() * unitMicros;
    }

    /** Lowers error rates at the end of a reweighting period. */
    void decayErrorRates(List<UpstreamState> ready) {
        double retention = regimes.current().errorRateRetention();
        ready.forEach(upstream -> upstream.outlier.errorRate *= retention);
    }

    /** Whether an upstream is ejected, or was and already has the only attempt that it may have until one succeeds. */
    static boolean isEjected(UpstreamState upstream, long nowMicros) {
        State state = upstream.outlier;
        return state.ejectedUntilMicros > nowMicros || (state.recovering() && upstream.inFlight.attempts() > 0);
    }

    /** Whether so many upstreams are ejected that the rest could not take the load. */
    static boolean isPanic(List<UpstreamState> upstreams, long nowMicros) {
        int left = 0;
        for (UpstreamState upstream : upstreams) {
            left += isEjected(upstream, nowMicros) ? 0 : 1;
        }
        return leavesTooFew(left, upstreams.size());
    }

    /** Whether so few of the ready upstreams are left that the exclusion of the others is more likely a mistake. */
    static boolean leavesTooFew(int left, int ready) {
        return left < PANIC_THRESHOLD * ready;
    }

    /** Factor on the weight of an upstream for the share of its attempts that succeed. */
    static double errorFactor(UpstreamState upstream) {
        return StrictMath.pow(1 - upstream.outlier.errorRate, SUCCESS_EXPONENT);
    }

    /** Factor on the weight of an upstream from its ejection until an attempt succeeds; otherwise 1. */
    static double recoveryFactor(UpstreamState upstream, Effect effect) {
        if (!upstream.outlier.recovering()) {
            return 1;
        }
        return effect == Effect.UNSAFE ? RECOVERING_WEIGHT_UNSAFE : RECOVERING_WEIGHT;
    }
}
