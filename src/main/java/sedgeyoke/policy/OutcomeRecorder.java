package sedgeyoke.policy;

import sedgeyoke.policy.LoadBalancingPolicy.AttemptEnd;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;

/** Passes the outcome of an attempt to the modules that learn from it about the upstream. */
final class OutcomeRecorder {
    private final OutlierDetection outliers;
    private final ConcurrencyLimits limits;
    private final ResponseTimes responseTimes;
    private final LoadReports reports;

    OutcomeRecorder(
            OutlierDetection outliers, ConcurrencyLimits limits, ResponseTimes responseTimes, LoadReports reports) {
        this.outliers = outliers;
        this.limits = limits;
        this.responseTimes = responseTimes;
        this.reports = reports;
    }

    void record(RequestState request, AttemptState attempt, AttemptEnd end, long nowMicros) {
        switch (end.outcome()) {
            case OK -> recordSuccess(request, attempt, (double) end.durationMicros(), nowMicros);
            case TIMEOUT, CANCELLED -> recordNoResponse(request, attempt, end.durationMicros(), nowMicros);
            case CONNECT_FAILED -> recordConnectFailure(attempt, nowMicros);
            case REJECTED -> limits.recordRejection(attempt.upstream, nowMicros);
            case ERROR, RESET -> recordError(attempt, end.outcome(), nowMicros);
            default -> {} // NOT_SENT: nothing has reached the upstream
        }
    }

    private void recordSuccess(RequestState request, AttemptState attempt, double durationMicros, long nowMicros) {
        outliers.recordSuccess(attempt.upstream, nowMicros);
        // If the body arrived in parts, buffers account for as much of the duration as the upstream.
        if (!request.request.bodyPending()) {
            responseTimes.record(attempt.upstream, request.request.classIndex(), durationMicros);
            limits.recordSuccess(request, attempt, durationMicros, nowMicros);
        }
    }

    private void recordNoResponse(RequestState request, AttemptState attempt, long durationMicros, long nowMicros) {
        if (!request.request.bodyPending()) {
            limits.recordNoResponse(request, attempt, durationMicros, nowMicros);
            reports.recordNoResponse(attempt.upstream, durationMicros, nowMicros);
        }
    }

    /**
     * Ejects the upstream, unless it has responded since the attempt was sent: then it is up and only out of
     * connections.
     */
    private void recordConnectFailure(AttemptState attempt, long nowMicros) {
        if (outliers.hasRespondedSince(attempt)) {
            limits.recordConnectionRefused(attempt.upstream);
        } else {
            outliers.eject(attempt.upstream, nowMicros);
        }
    }

    private void recordError(AttemptState attempt, Outcome outcome, long nowMicros) {
        outliers.recordError(attempt.upstream, outcome, nowMicros);
    }
}
