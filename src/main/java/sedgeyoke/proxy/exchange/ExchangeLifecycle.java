package sedgeyoke.proxy.exchange;

import java.util.List;
import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.proxy.discovery.InitialListBarrier;

/**
 * Accepts each exchange, notifies the policy of it, and ends it when its deadline is near, when its client aborts the
 * body, or when the process is about to be killed. Event loop only; times are microseconds of the policy's clock.
 */
public final class ExchangeLifecycle {
    private final PolicyClock clock;
    private final PolicyEvents events;
    private final InitialListBarrier initialListBarrier;
    private final ExchangeTable table;
    private final ExchangeDeadlines deadlines;
    private final AttemptProgress attempts;
    private final ExchangeCompletion completion;

    /** Creates the lifecycle of all exchanges of one balancer. */
    public ExchangeLifecycle(
            PolicyClock clock,
            PolicyEvents events,
            InitialListBarrier initialListBarrier,
            ExchangeTable table,
            ExchangeDeadlines deadlines,
            AttemptProgress attempts,
            ExchangeCompletion completion) {
        this.clock = clock;
        this.events = events;
        this.initialListBarrier = initialListBarrier;
        this.table = table;
        this.deadlines = deadlines;
        this.attempts = attempts;
        this.completion = completion;
    }

    /** Accepts a client's request, which must get one response from now on. */
    public void accept(Exchange exchange) {
        if (table.isFull()) {
            completion.reject(exchange, RejectionReason.TOO_MANY_EXCHANGES);
            return;
        }
        if (deadlines.isTooLateForRequests()) {
            completion.reject(exchange, RejectionReason.SHUTDOWN_TOO_NEAR);
            return;
        }
        table.add(exchange);
        deadlines.start(exchange);
        initialListBarrier.whenReleased(() -> notifyUnlessAnswered(exchange));
    }

    private void notifyUnlessAnswered(Exchange exchange) {
        if (!exchange.answered) {
            events.deliver(exchange, () -> notifyRequest(exchange));
        }
    }

    private void notifyRequest(Exchange exchange) {
        LoadBalancingPolicy.Request request = exchange.request;
        long nowMicros = clock.now();
        events.policy()
                .requestArrived(
                        nowMicros,
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

    /** Handles a deadline that is near: times out the attempts and responds to the client unless the policy does. */
    public void expire(Exchange exchange) {
        attempts.timeOutAll(exchange);
        completion.endUnanswered(exchange, RejectionReason.DEADLINE_NEAR);
        // The policy may have reacted with a new attempt, which nothing else would end.
        attempts.timeOutAll(exchange);
        if (AttemptProgress.mustDecideLater(exchange)) {
            deadlines.startGracePeriod(exchange, () -> attempts.timeOutUndecided(exchange));
        }
    }

    /**
     * Ends an exchange whose client will not complete a partly forwarded body, so that the request cannot be executed.
     */
    public void requestBodyAborted(Exchange exchange) {
        if (completion.failWithoutResponse(exchange)) {
            for (Attempt attempt : List.copyOf(exchange.attempts)) {
                if (!attempt.ended) {
                    attempts.stop(attempt, AttemptOutcomes.afterClientAbort(attempt), StopReason.CLIENT_ABORT);
                }
            }
            completion.notifyClientDisconnected(exchange);
            table.removeIfDone(exchange);
        }
    }

    /**
     * Ends all open exchanges, in particular streamed bodies, just before the process is killed: an upload whose last
     * byte was never written is rejected, and a streamed response is cut off so that its client can tell.
     */
    public void endAll() {
        for (Exchange exchange : table.copy()) {
            for (Attempt attempt : List.copyOf(exchange.attempts)) {
                if (!attempt.ended) {
                    attempts.stop(attempt, AttemptOutcomes.afterShutdown(attempt), StopReason.SHUTDOWN);
                }
            }
            completion.endUnanswered(exchange, RejectionReason.SHUTDOWN_BEFORE_RESPONSE);
        }
    }
}
