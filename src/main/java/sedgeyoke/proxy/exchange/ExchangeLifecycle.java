package sedgeyoke.proxy.exchange;

import java.util.List;
import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.proxy.discovery.InitialListBarrier;

/**
 * Takes each exchange in and notifies the policy of it, and ends it when its deadline is near, when its client stops in
 * the middle of the body, or when the process is about to be killed. Event loop only; times are microseconds of the
 * policy's clock.
 */
public final class ExchangeLifecycle {
    private final PolicyClock clock;
    private final PolicyEvents events;
    private final InitialListBarrier initialListBarrier;
    private final ExchangeTable table;
    private final ExchangeDeadlines deadlines;
    private final AttemptProgress attempts;
    private final ExchangeCompletion completion;

    /** Connects the parts that handle the exchanges of one balancer. */
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

    /** Takes a client's request; it is owed one response from here on. */
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

    /** The deadline is near: the attempts time out, and the client is answered here if the policy does not. */
    public void expire(Exchange exchange) {
        attempts.timeOutAll(exchange);
        completion.endUnanswered(exchange, RejectionReason.DEADLINE_NEAR);
        // An attempt that the policy sent in response to that would never end.
        attempts.timeOutAll(exchange);
    }

    /** The client will send no more of a body of which a part was forwarded: the request can never be executed. */
    public void requestBodyAborted(Exchange exchange) {
        if (completion.failWithoutResponse(exchange)) {
            for (Attempt attempt : List.copyOf(exchange.attempts)) {
                if (!attempt.ended) {
                    attempts.stop(attempt, AttemptOutcomes.afterClientAbort(attempt));
                }
            }
            completion.notifyClientDisconnected(exchange);
            table.removeIfDone(exchange);
        }
    }

    /**
     * Ends what is still open, streamed bodies above all, just before the process is killed: an upload whose last byte
     * never went out is rejected, and a client can tell that its response is incomplete.
     */
    public void endAll() {
        for (Exchange exchange : table.copy()) {
            for (Attempt attempt : List.copyOf(exchange.attempts)) {
                if (!attempt.ended) {
                    attempts.stop(attempt, AttemptOutcomes.afterShutdown(attempt));
                }
            }
            completion.endUnanswered(exchange, RejectionReason.SHUTDOWN_BEFORE_RESPONSE);
        }
    }
}
