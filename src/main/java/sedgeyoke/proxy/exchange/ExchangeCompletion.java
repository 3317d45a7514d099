package sedgeyoke.proxy.exchange;

import sedgeyoke.policy.LoadBalancingPolicy.Settings;

/**
 * Gives each exchange its one response, or none if the client has disconnected. Only this class marks an exchange as
 * answered. Each rejection has a {@link RejectionReason}; a failure, after which the request may have been executed,
 * has none, and neither has the status 500 for a fault before the exchange begins. An exchange may be ended by
 *
 * <ul>
 *   <li>the response of an upstream ({@link AttemptProgress}),
 *   <li>the policy ({@link ExchangeActions}),
 *   <li>its deadline, its client, or the end of the process ({@link ExchangeLifecycle}); if a client aborts a body
 *       that is being streamed, {@code IncomingRequest} has already written the response, which is only counted here,
 *   <li>a fault while it is handled ({@link PolicyEvents}, {@code ResponseWriter}).
 * </ul>
 *
 * <p>Event loop only; times are microseconds.
 */
public final class ExchangeCompletion {
    /** The Retry-After of a rejection if it is allowed and the policy advises none. */
    private static final long DEFAULT_RETRY_AFTER_MICROS = 1_000_000;

    private final PolicyClock clock;
    private final Settings settings;
    private final PolicyEvents events;
    private final RequestMetrics metrics;
    private final ExchangeTable table;
    private final ExchangeLog log;

    /** Creates the completion for all exchanges of one balancer. */
    public ExchangeCompletion(
            PolicyClock clock,
            Settings settings,
            PolicyEvents events,
            RequestMetrics metrics,
            ExchangeTable table,
            ExchangeLog log) {
        this.clock = clock;
        this.settings = settings;
        this.events = events;
        this.metrics = metrics;
        this.table = table;
        this.log = log;
    }

    // ---- With a response -----------------------------------------------------------------------------

    /** Sends a complete response of an upstream to the client. */
    void serve(Exchange exchange, UpstreamResponse response) {
        if (markAnswered(exchange, RequestMetrics.End.SERVED)) {
            exchange.reply.complete(response.contentType(), response.body());
        }
    }

    /** Marks an unanswered exchange as answered by a streamed response, which is counted once it ends. */
    void markStreaming(Exchange exchange) {
        exchange.answered = true;
    }

    /** Counts the end of a streamed response. */
    void streamEnded(Exchange exchange, RequestMetrics.End end) {
        metrics.ended(exchange.request.classIndex(), end);
    }

    /** Rejects a request without advice when to retry; see {@link #reject(Exchange, RejectionReason, long)}. */
    void reject(Exchange exchange, RejectionReason reason) {
        reject(exchange, reason, 0);
    }

    /** Responds that the request was not executed; {@code retryAfterMicros} as the policy advises, 0 for no advice. */
    void reject(Exchange exchange, RejectionReason reason, long retryAfterMicros) {
        if (markAnswered(exchange, RequestMetrics.End.REJECTED)) {
            log.rejected(exchange, reason);
            exchange.reply.rejected(reason, retryAfterMicros(retryAfterMicros));
        }
    }

    /** Responds that the request failed; it may have been executed or not. */
    public void fail(Exchange exchange) {
        if (markAnswered(exchange, RequestMetrics.End.FAILED)) {
            log.failed(exchange);
            exchange.reply.failed();
        }
    }

    /**
     * Responds to an exchange that is still unanswered: with a rejection if no upstream can have executed it, else with
     * a failure.
     */
    public void endUnanswered(Exchange exchange, RejectionReason reason) {
        if (exchange.answered) {
            return;
        }
        log.answeredWithoutPolicy(exchange, reason);
        if (exchange.mayHaveRun()) {
            fail(exchange);
        } else {
            reject(exchange, reason);
        }
        events.deliver(() -> events.policy().clientDisconnected(clock.now(), exchange.request.id()));
        table.removeIfDone(exchange);
    }

    /** The Retry-After of a rejection; 0 if none is allowed. */
    public long retryAfterMicros(long advisedMicros) {
        if (!settings.limits().retryAfter()) {
            return 0;
        }
        return Math.min(
                advisedMicros > 0 ? advisedMicros : DEFAULT_RETRY_AFTER_MICROS,
                settings.limits().maxRetryAfterMicros());
    }

    // ---- Without a response --------------------------------------------------------------------------

    /** Ends an exchange whose client has closed its connection before the response. */
    public void clientDisconnected(Exchange exchange) {
        if (!exchange.answered) {
            exchange.answered = true;
            notifyClientDisconnected(exchange);
            table.removeIfDone(exchange);
        }
    }

    /** Ends an exchange whose client has aborted its body; false if it was already answered. */
    boolean failWithoutResponse(Exchange exchange) {
        return markAnswered(exchange, RequestMetrics.End.FAILED);
    }

    /** Notifies the policy that the client no longer waits for the response. */
    void notifyClientDisconnected(Exchange exchange) {
        events.deliver(exchange, () -> events.policy().clientDisconnected(clock.now(), exchange.request.id()));
    }

    /** Marks the exchange as answered; false if it already was. */
    private boolean markAnswered(Exchange exchange, RequestMetrics.End end) {
        if (exchange.answered) {
            return false;
        }
        exchange.answered = true;
        metrics.ended(exchange.request.classIndex(), end);
        return true;
    }
}
