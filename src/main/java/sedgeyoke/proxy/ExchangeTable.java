package sedgeyoke.proxy;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import sedgeyoke.body.BodyLimits;
import sedgeyoke.body.PartialRequestPolicy;
import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;

/**
 * The open exchanges. It follows each from its request to its response and the end of its last attempt, notifies the
 * policy, and sees to it that each gets one response even where the policy fails to give one. Event loop only; times
 * are microseconds of the policy's clock.
 */
final class ExchangeTable implements AttemptListener {
    /** The response must be out so long before the client's deadline: the way back takes time, too. */
    private static final long RESPONSE_TRANSIT_MICROS = 6_000;
    /** What a request took to arrive: its budget counts from the client's sending. */
    private static final long REQUEST_TRANSIT_MICROS = 2_000;
    /** Retry-After of a rejection where it is allowed and the policy gives none. */
    private static final long DEFAULT_RETRY_AFTER_MICROS = 1_000_000;

    private final EventLoop loop;
    private final PolicyClock clock;
    private final Settings settings;
    private final BodyLimits bodies;
    private final PolicyEvents events;
    private final RequestMetrics metrics;
    private final RateLimitedLog log;
    private final InitialListBarrier initialListBarrier;
    private final Map<String, Exchange> exchanges = new HashMap<>();
    /** When the last response must be out; limits all deadlines during a graceful shutdown. */
    private long lastResponseMicros = Long.MAX_VALUE;
    /** From then on requests are rejected at once, as there is no time left to forward them. */
    private long lastRequestMicros = Long.MAX_VALUE;

    ExchangeTable(
            EventLoop loop,
            PolicyClock clock,
            Settings settings,
            BodyLimits bodies,
            PolicyEvents events,
            RequestMetrics metrics,
            InitialListBarrier initialListBarrier,
            RateLimitedLog log) {
        this.loop = loop;
        this.clock = clock;
        this.settings = settings;
        this.bodies = bodies;
        this.events = events;
        this.metrics = metrics;
        this.initialListBarrier = initialListBarrier;
        this.log = log;
    }

    /** The open exchange with this id, or null. */
    Exchange get(String id) {
        return exchanges.get(id);
    }

    boolean isEmpty() {
        return exchanges.isEmpty();
    }

    // ---- Requests ------------------------------------------------------------------------------------

    /** Takes a client's request; it is owed one response from here on. */
    void accept(Exchange exchange) {
        if (exchanges.size() >= settings.limits().maxConcurrentRequests() || clock.now() >= lastRequestMicros) {
            reject(exchange, 0);
            return;
        }
        LoadBalancingPolicy.Request request = exchange.request;
        // The budget counts from the last byte; until that has arrived, the limits on uploads hold.
        long uploadMicros = exchange.body.ended() ? 0 : bodies.longestUpload();
        long leftMicros = Math.min(
                request.timeLeftMicros()
                        + uploadMicros
                        - REQUEST_TRANSIT_MICROS
                        - exchange.waitedMicros
                        - clock.readDelayMicros(exchange.onNewConnection),
                lastResponseMicros - clock.now());
        exchange.deadlineMicros = clock.now() + leftMicros;
        exchanges.put(request.id(), exchange);
        startDeadlineTimer(exchange, leftMicros);
        initialListBarrier.whenReleased(() -> notifyUnlessAnswered(exchange));
    }

    private void notifyUnlessAnswered(Exchange exchange) {
        if (!exchange.answered) {
            events.deliver(exchange, () -> notifyRequest(exchange));
        }
    }

    private void notifyRequest(Exchange exchange) {
        LoadBalancingPolicy.Request request = exchange.request;
        long now = clock.now();
        events.policy()
                .requestArrived(
                        now,
                        new LoadBalancingPolicy.Request(
                                request.id(),
                                request.classIndex(),
                                request.tenant(),
                                request.affinityKey(),
                                request.expectedWork(),
                                exchange.deadlineMicros - clock.now(),
                                request.write(),
                                request.retry(),
                                exchange.body.streams()));
    }

    private void startDeadlineTimer(Exchange exchange, long leftMicros) {
        exchange.deadlineTimer =
                loop.schedule(() -> expire(exchange), leftMicros - RESPONSE_TRANSIT_MICROS, TimeUnit.MICROSECONDS);
    }

    /** The deadline is near: the attempts time out, and the client is answered here if the policy does not. */
    private void expire(Exchange exchange) {
        List.copyOf(exchange.attempts).forEach(this::timeOut);
        endUnanswered(exchange);
        // An attempt that the policy sent in response to that would never end.
        List.copyOf(exchange.attempts).forEach(this::timeOut);
    }

    /** Ends an attempt whose time is over, unless its response is being streamed: that has limits of its own. */
    void timeOut(Attempt attempt) {
        if (!attempt.ended && !attempt.responseStreaming) {
            stop(attempt, AttemptOutcomes.afterTimeout(attempt));
        }
    }

    /** The client has closed its connection before its response. */
    void clientDisconnected(Exchange exchange) {
        if (!exchange.answered) {
            exchange.answered = true;
            notifyClientDisconnected(exchange);
            removeIfDone(exchange);
        }
    }

    private void notifyClientDisconnected(Exchange exchange) {
        events.deliver(exchange, () -> events.policy().clientDisconnected(clock.now(), exchange.request.id()));
    }

    /** The client will send no more of a body of which a part was forwarded: the request can never be executed. */
    void requestBodyAborted(Exchange exchange) {
        if (!exchange.answered) {
            exchange.answered = true;
            metrics.ended(exchange.request.classIndex(), RequestMetrics.End.FAILED);
            for (Attempt attempt : List.copyOf(exchange.attempts)) {
                if (!attempt.ended) {
                    stop(attempt, AttemptOutcomes.afterClientAbort(attempt));
                }
            }
            notifyClientDisconnected(exchange);
            removeIfDone(exchange);
        }
    }

    /** Answers an exchange that the policy, or a fault of ours, leaves open: it is rejected only if it never ran. */
    void endUnanswered(Exchange exchange) {
        if (exchange.answered) {
            return;
        }
        log.line("answered without the policy: " + exchange.request.id());
        if (exchange.mayHaveRun()) {
            fail(exchange);
        } else {
            reject(exchange, 0);
        }
        events.deliver(() -> events.policy().clientDisconnected(clock.now(), exchange.request.id()));
        removeIfDone(exchange);
    }

    // ---- Graceful shutdown ---------------------------------------------------------------------------

    /** Limits the time of all responses, and from when on requests are rejected; both may move with each call. */
    void limitTimes(long lastResponse, long lastRequest) {
        lastResponseMicros = lastResponse;
        lastRequestMicros = lastRequest;
    }

    /**
     * Ends what is still open, streamed bodies above all, just before the process is killed: an upload whose last byte
     * never went out is rejected, and a client can tell that its response is incomplete.
     */
    void endAll() {
        for (Exchange exchange : List.copyOf(exchanges.values())) {
            for (Attempt attempt : List.copyOf(exchange.attempts)) {
                if (!attempt.ended) {
                    stop(attempt, AttemptOutcomes.afterShutdown(attempt));
                }
            }
            endUnanswered(exchange);
        }
    }

    // ---- Progress of attempts ------------------------------------------------------------------------

    /** Ends an attempt that has not ended; its connection is closed if its request was written to one. */
    void stop(Attempt attempt, Outcome outcome) {
        UpstreamConnection connection = attempt.connection;
        if (connection != null && connection.carries(attempt)) {
            connection.stop(outcome);
        } else {
            ended(attempt, outcome, null);
        }
    }

    @Override
    public ResponseStream.Sink responseStreaming(
            Attempt attempt, ResponseStream.Head head, ResponseStream.Source source) {
        Exchange exchange = attempt.exchange;
        if (exchange.answered || attempt.ended) {
            return null;
        }
        exchange.answered = true;
        attempt.responseStreaming = true;
        makeLastAttempt(attempt);
        responseStarted(attempt);
        return exchange.reply.begin(head, source);
    }

    @Override
    public void requestStreaming(Attempt attempt) {
        makeLastAttempt(attempt);
        notifyTransfer(attempt);
    }

    /** There will be no further attempt, and neither the attempt's timeout nor the deadline ends this one. */
    private void makeLastAttempt(Attempt attempt) {
        Exchange exchange = attempt.exchange;
        if (exchange.streamingAttempt == null) {
            exchange.streamingAttempt = attempt;
            events.deliver(exchange, () -> events.policy()
                    .responseStarted(clock.now(), exchange.request.id(), attempt.number));
        }
    }

    @Override
    public void responseStarted(Attempt attempt) {
        if (attempt.responseStartTimeMicros == 0) {
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
        Exchange exchange = attempt.exchange;
        attempt.requestCompleteTimeMicros = clock.now();
        if (!exchange.answered && exchange.deadlineTimer != null) {
            exchange.deadlineTimer.cancel(false);
            long leftMicros = Math.min(
                    exchange.request.timeLeftMicros() - REQUEST_TRANSIT_MICROS, lastResponseMicros - clock.now());
            exchange.deadlineMicros = clock.now() + leftMicros;
            startDeadlineTimer(exchange, exchange.deadlineMicros - clock.now());
        }
    }

    @Override
    public long loopDelayMicros() {
        return clock.loopDelayMicros();
    }

    /** The first complete and successful response goes to the client; then the policy is notified of the outcome. */
    @Override
    public void ended(Attempt attempt, Outcome outcome, UpstreamResponse response) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        metrics.attemptEnded(outcome);
        attempt.mayHaveRun = !outcome.neverRan;
        if (attempt.timeoutTimer != null) {
            attempt.timeoutTimer.cancel(false);
        }
        Exchange exchange = attempt.exchange;
        if (outcome == Outcome.OK && response != null) {
            serve(exchange, response);
        } else if (attempt.responseStreaming) {
            metrics.ended(
                    exchange.request.classIndex(),
                    outcome == Outcome.OK ? RequestMetrics.End.SERVED : RequestMetrics.End.FAILED);
        }
        endIfBodyIsPartial(attempt, outcome);
        notifyOutcome(attempt, outcome, response);
        removeIfDone(exchange);
    }

    /** Ends the exchange if its request body was forwarded in part, so that no further attempt can send it. */
    private void endIfBodyIsPartial(Attempt attempt, Outcome outcome) {
        Exchange exchange = attempt.exchange;
        LoadBalancingPolicy.RequestClass requestClass = classOf(exchange);
        PartialRequestPolicy.Next next = PartialRequestPolicy.after(
                requestClass.effect(), requestClass.scope(), exchange.body.state(attempt.written), outcome);
        if (next == PartialRequestPolicy.Next.REJECT) {
            attempt.mayHaveRun = false;
            reject(exchange, 0);
        } else if (next == PartialRequestPolicy.Next.FAIL) {
            fail(exchange);
        }
    }

    private void notifyOutcome(Attempt attempt, Outcome outcome, UpstreamResponse response) {
        Exchange exchange = attempt.exchange;
        // The delay of our own loop is deducted: the policy would take it for load of the upstream and send less.
        long endMicros = attempt.responseStartTimeMicros > 0 ? attempt.responseStartTimeMicros : clock.now();
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
     * Until when a further attempt may go out: upstreams recognise the repeat of an idempotency key only as long as
     * they remember the first attempt that may have run. The policy checks that when it chooses, but a connection may
     * take its time to come up. {@link Long#MAX_VALUE} without a key.
     */
    long resendDeadlineMicros(Exchange exchange) {
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

    // ---- Responses -----------------------------------------------------------------------------------

    /** Marks the exchange as answered; false if it already was. */
    private boolean markAnswered(Exchange exchange, RequestMetrics.End end) {
        if (exchange.answered) {
            return false;
        }
        exchange.answered = true;
        metrics.ended(exchange.request.classIndex(), end);
        return true;
    }

    private void serve(Exchange exchange, UpstreamResponse response) {
        if (markAnswered(exchange, RequestMetrics.End.SERVED)) {
            exchange.reply.served(response.contentType(), response.body());
        }
    }

    /** Answers that the request was not executed; {@code retryAfterMicros} as the policy advises, 0 for no advice. */
    void reject(Exchange exchange, long retryAfterMicros) {
        if (markAnswered(exchange, RequestMetrics.End.REJECTED)) {
            exchange.reply.refused(retryAfter(retryAfterMicros));
        }
    }

    /** Answers that the request failed; it may have been executed or not. */
    void fail(Exchange exchange) {
        if (markAnswered(exchange, RequestMetrics.End.FAILED)) {
            exchange.reply.failed();
        }
    }

    /** The Retry-After of a rejection, in microseconds; 0 where none is allowed. */
    long retryAfter(long advisedMicros) {
        if (!settings.limits().retryAfter()) {
            return 0;
        }
        return Math.min(
                advisedMicros > 0 ? advisedMicros : DEFAULT_RETRY_AFTER_MICROS,
                settings.limits().maxRetryAfterMicros());
    }

    /** Removes an exchange that is answered and whose attempts have all ended. */
    void removeIfDone(Exchange exchange) {
        if (exchange.answered && exchange.allAttemptsEnded()) {
            if (exchange.deadlineTimer != null) {
                exchange.deadlineTimer.cancel(false);
            }
            exchanges.remove(exchange.request.id(), exchange);
            exchange.body.abort(); // nothing takes the rest of it any more
        }
    }
}
