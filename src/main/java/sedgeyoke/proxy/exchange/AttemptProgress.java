package sedgeyoke.proxy.exchange;

import java.util.List;
import sedgeyoke.body.PartialRequestPolicy;
import sedgeyoke.body.ResponseDeadline;
import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;

/**
 * Tracks each attempt from its start to its end, notifies the policy, and hands the first successful response to {@link
 * ExchangeCompletion}. Event loop only; times are microseconds of the policy's clock.
 */
public final class AttemptProgress implements AttemptListener {
    private final PolicyClock clock;
    private final Settings settings;
    private final PolicyEvents events;
    private final RequestMetrics metrics;
    private final ExchangeTable table;
    private final ExchangeCompletion completion;
    private final ExchangeLog log;

    /** Creates the listener for all attempts of one balancer. */
    public AttemptProgress(
            PolicyClock clock,
            Settings settings,
            PolicyEvents events,
            RequestMetrics metrics,
            ExchangeTable table,
            ExchangeCompletion completion,
            ExchangeLog log) {
        this.clock = clock;
        this.settings = settings;
        this.events = events;
        this.metrics = metrics;
        this.table = table;
        this.completion = completion;
        this.log = log;
    }

    // ---- Ending attempts early -----------------------------------------------------------------------

    /**
     * Times out all attempts of an exchange whose deadline is near. A streamed response ends, too, so that its client
     * can tell that it is incomplete, unless it is or may be so long that only its first bytes are timed.
     */
    void timeOutAll(Exchange exchange) {
        for (Attempt attempt : List.copyOf(exchange.attempts)) {
            if (!attempt.ended && attempt.atDeadline() == ResponseDeadline.Decision.END) {
                stop(attempt, AttemptOutcomes.afterTimeout(attempt), StopReason.DEADLINE);
            }
        }
    }

    /** Whether an attempt of the exchange has a response on which the deadline of the exchange has not decided. */
    static boolean mustDecideLater(Exchange exchange) {
        return exchange.attempts.stream()
                .anyMatch(attempt -> !attempt.ended && attempt.atDeadline() == ResponseDeadline.Decision.DECIDE_LATER);
    }

    /** Decides on the responses that {@link #timeOutAll} has left open: ends those that are not known to be long. */
    void timeOutUndecided(Exchange exchange) {
        for (Attempt attempt : List.copyOf(exchange.attempts)) {
            if (!attempt.ended
                    && attempt.isResponseStreaming()
                    && ResponseDeadline.endsAfterGrace(attempt.streamedResponse.progress())) {
                stop(attempt, AttemptOutcomes.afterTimeout(attempt), StopReason.GRACE_PERIOD);
            }
        }
    }

    /** Handles the timeout of a single attempt, which ends unless its response is being streamed. */
    void timeOut(Attempt attempt) {
        if (!attempt.ended && !attempt.isResponseStreaming()) {
            stop(attempt, AttemptOutcomes.afterTimeout(attempt), StopReason.ATTEMPT_TIMEOUT);
        }
    }

    /** Ends an attempt that has not ended; its connection is closed if its request was written to one. */
    void stop(Attempt attempt, Outcome outcome, StopReason reason) {
        log.stopped(attempt, outcome, reason);
        attempt.stopped = true;
        AttemptConnection connection = attempt.connection;
        if (connection != null && connection.carries(attempt)) {
            connection.stop(outcome);
        } else {
            ended(attempt, outcome, null);
        }
    }

    /** Logs an attempt that starts now, if it follows others. */
    void starting(Attempt attempt) {
        if (attempt.number > 0) {
            log.retried(attempt);
        }
    }

    // ---- Progress ------------------------------------------------------------------------------------

    @Override
    public ResponseStream.Sink responseStreaming(
            Attempt attempt, ResponseStream.Head head, ResponseStream.Source source) {
        Exchange exchange = attempt.exchange;
        if (exchange.answered || attempt.ended) {
            return null;
        }
        completion.markStreaming(exchange);
        attempt.streamedResponse = source;
        markAsLastAttempt(attempt);
        responseStarted(attempt);
        return exchange.reply.begin(head, source);
    }

    @Override
    public void requestStreaming(Attempt attempt) {
        markAsLastAttempt(attempt);
        notifyTransfer(attempt);
    }

    /**
     * Marks the attempt as the last one of its exchange, as its request or response body is streamed and cannot be sent
     * again. The policy is notified by its event {@code responseStarted} in both cases.
     */
    private void markAsLastAttempt(Attempt attempt) {
        Exchange exchange = attempt.exchange;
        if (exchange.streamingAttempt == null) {
            exchange.streamingAttempt = attempt;
            events.deliver(exchange, () -> events.policy()
                    .responseStarted(clock.now(), exchange.request.id(), attempt.number));
        }
    }

    @Override
    public void responseStarted(Attempt attempt) {
        if (!attempt.hasResponseStarted()) {
            attempt.responseStartTimeMicros = clock.now();
            notifyTransfer(attempt);
        }
    }

    private void notifyTransfer(Attempt attempt) {
        Exchange exchange = attempt.exchange;
        events.deliver(
                exchange, () -> events.policy().transferStarted(clock.now(), exchange.request.id(), attempt.number));
    }

    @Override
    public void requestWritten(Attempt attempt) {
        attempt.written = true;
        metrics.attempted(attempt.exchange.request.classIndex());
    }

    @Override
    public void requestBodyComplete(Attempt attempt) {
        attempt.requestCompleteTimeMicros = clock.now();
    }

    @Override
    public long loopDelayMicros() {
        return clock.loopDelayMicros();
    }

    // ---- End -----------------------------------------------------------------------------------------

    /** Returns the first complete and successful response to the client; then notifies the policy of the outcome. */
    @Override
    public void ended(Attempt attempt, Outcome outcome, UpstreamResponse response) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        metrics.attemptEnded(outcome);
        attempt.mayHaveRun = !outcome.neverRan;
        if (outcome != Outcome.OK && outcome != Outcome.NOT_SENT && !attempt.stopped) {
            log.ended(attempt, outcome);
        }
        if (attempt.timeoutTimer != null) {
            attempt.timeoutTimer.cancel();
        }
        Exchange exchange = attempt.exchange;
        if (outcome == Outcome.OK && response != null) {
            completion.serve(exchange, response);
        } else if (attempt.isResponseStreaming()) {
            completion.streamEnded(
                    exchange, outcome == Outcome.OK ? RequestMetrics.End.SERVED : RequestMetrics.End.FAILED);
        }
        endIfBodyIsPartial(attempt, outcome);
        notifyOutcome(attempt, outcome, response);
        table.removeIfDone(exchange);
    }

    /** Ends the exchange if its request body was forwarded in part, so that no further attempt can send it. */
    private void endIfBodyIsPartial(Attempt attempt, Outcome outcome) {
        Exchange exchange = attempt.exchange;
        LoadBalancingPolicy.RequestClass requestClass = classOf(exchange);
        PartialRequestPolicy.NextStep next = PartialRequestPolicy.afterAttempt(
                requestClass.effect(), requestClass.scope(), attempt.bodyProgress(), outcome);
        if (next == PartialRequestPolicy.NextStep.REJECT) {
            attempt.mayHaveRun = false;
            completion.reject(exchange, RejectionReason.BODY_NOT_REPEATABLE);
        } else if (next == PartialRequestPolicy.NextStep.FAIL) {
            completion.fail(exchange);
        }
    }

    private void notifyOutcome(Attempt attempt, Outcome outcome, UpstreamResponse response) {
        Exchange exchange = attempt.exchange;
        // The delay of this event loop is deducted: the policy would attribute it to the upstream and send fewer
        // requests there.
        long endMicros = attempt.hasResponseStarted() ? attempt.responseStartTimeMicros : clock.now();
        long latencyMicros = Math.max(0, endMicros - attempt.requestCompleteTimeMicros - loopDelayMicros());
        LoadBalancingPolicy.AttemptEnd end = new LoadBalancingPolicy.AttemptEnd(
                exchange.request.id(),
                attempt.number,
                attempt.upstream,
                outcome,
                latencyMicros,
                exchange.answered,
                response == null ? null : response.load());
        events.deliver(exchange, () -> events.policy().attemptEnded(clock.now(), end));
    }

    /**
     * The time from which no further attempt may be written: upstreams recognise a repeated idempotency key only within
     * the deduplication window of the first attempt that may have been executed. {@code sedgeyoke.policy.RetryPolicy}
     * applies the same window, less a margin, when it chooses an attempt; the exact limit is needed here because
     * connecting may take a while. {@link Long#MAX_VALUE} without a key.
     */
    public long resendDeadlineMicros(Exchange exchange) {
        LoadBalancingPolicy.RequestClass requestClass = classOf(exchange);
        if (requestClass.effect() != LoadBalancingPolicy.Effect.IDEMPOTENT_WITH_KEY) {
            return Long.MAX_VALUE;
        }
        return exchange.attempts.stream()
                .filter(attempt -> attempt.mayHaveRun)
                .mapToLong(attempt -> attempt.startTimeMicros + requestClass.deduplicationWindowMicros())
                .min()
                .orElse(Long.MAX_VALUE);
    }

    private LoadBalancingPolicy.RequestClass classOf(Exchange exchange) {
        return settings.classes().get(exchange.request.classIndex());
    }
}
