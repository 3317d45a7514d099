package sedgeyoke.proxy.discovery;

import java.util.function.LongSupplier;
import sedgeyoke.proxy.common.RateLimitedLog;
import sedgeyoke.proxy.common.TimeUnits;

/**
 * Logs and counts calls to discovery that fail or get no answer in time, and logs how long discovery was unavailable.
 * Times are microseconds. Event loop only.
 */
final class DiscoveryFailures {
    private static final long NOT_FAILING = Long.MIN_VALUE;

    private final LongSupplier clockMicros;
    private final RateLimitedLog log;
    private final DiscoveryMetrics metrics;
    /** When the first call of the current series of failed calls began. */
    private long failingSinceMicros = NOT_FAILING;

    DiscoveryFailures(LongSupplier clockMicros, RateLimitedLog log, DiscoveryMetrics metrics) {
        this.clockMicros = clockMicros;
        this.log = log;
        this.metrics = metrics;
    }

    /** Records that a call got no complete answer in time and is retried. */
    void answerOverdue(long callStartedMicros) {
        metrics.count(DiscoveryMetrics.Event.ANSWER_OVERDUE);
        log.state("discovery: no complete response after " + millisSince(callStartedMicros)
                + " ms; retrying on another connection");
        recordFailure(callStartedMicros);
    }

    /**
     * Records that a call has failed. The first failure in a series is logged as a change of state, later ones as lines
     * that a peer can cause.
     */
    void callFailed(long callStartedMicros, String reason) {
        metrics.count(DiscoveryMetrics.Event.CALL_FAILED);
        if (failingSinceMicros == NOT_FAILING) {
            log.state("discovery: " + reason);
        } else {
            log.line("discovery: " + reason);
        }
        recordFailure(callStartedMicros);
    }

    /** Records that a list was accepted. */
    void recovered() {
        if (failingSinceMicros != NOT_FAILING) {
            log.state("discovery: recovered after " + millisSince(failingSinceMicros) + " ms");
            failingSinceMicros = NOT_FAILING;
        }
    }

    private void recordFailure(long callStartedMicros) {
        if (failingSinceMicros == NOT_FAILING) {
            failingSinceMicros = callStartedMicros;
        }
    }

    private long millisSince(long timeMicros) {
        return (clockMicros.getAsLong() - timeMicros) / TimeUnits.MICROS_PER_MILLI;
    }
}
