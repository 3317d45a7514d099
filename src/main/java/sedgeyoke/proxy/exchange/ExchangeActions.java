package sedgeyoke.proxy.exchange;

import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;
import sedgeyoke.proxy.common.ReadBarrier;

/**
 * Carries out the decisions of the policy on single exchanges. Decisions on an exchange that is no longer open are
 * ignored. Event loop only; times are microseconds of the policy's clock.
 */
public final class ExchangeActions {
    private final ReadBarrier reads;
    private final PolicyClock clock;
    private final Settings settings;
    private final ExchangeTable table;
    private final AttemptProgress attempts;
    private final ExchangeCompletion completion;
    private final AttemptStarter starter;

    /**
     * Creates the actions; {@code starter} sends attempts, and {@code reads} delays their timeouts until pending input
     * is read.
     */
    public ExchangeActions(
            ReadBarrier reads,
            PolicyClock clock,
            Settings settings,
            ExchangeTable table,
            AttemptProgress attempts,
            ExchangeCompletion completion,
            AttemptStarter starter) {
        this.reads = reads;
        this.clock = clock;
        this.settings = settings;
        this.table = table;
        this.attempts = attempts;
        this.completion = completion;
        this.starter = starter;
    }

    /** Starts an attempt at an upstream; {@code timeoutMicros} is 0 if it may wait as long as the exchange. */
    public void send(String id, String upstream, long timeoutMicros) {
        Exchange exchange = table.get(id);
        if (exchange == null) {
            return;
        }
        long nowMicros = clock.now();
        long deadlineMicros = timeoutMicros > 0
                ? Math.min(nowMicros + timeoutMicros, exchange.deadlineMicros)
                : exchange.deadlineMicros;
        int number = exchange.attempts.size();
        Attempt attempt = new Attempt(
                exchange, number, upstream, nowMicros, deadlineMicros, attempts.resendDeadlineMicros(exchange));
        exchange.attempts.add(attempt);
        if (exchange.answered || number >= settings.limits().maxAttempts() || deadlineMicros <= nowMicros) {
            attempts.ended(attempt, Outcome.NOT_SENT, null);
            return;
        }
        if (deadlineMicros < exchange.deadlineMicros) {
            attempt.timeoutTimer = reads.schedule(() -> attempts.timeOut(attempt), deadlineMicros - nowMicros);
        }
        attempts.starting(attempt);
        starter.start(attempt);
    }

    /** Rejects a request; {@code retryAfterMicros} is 0 for no advice. */
    public void reject(String id, long retryAfterMicros) {
        Exchange exchange = table.get(id);
        if (exchange != null) {
            completion.reject(exchange, RejectionReason.POLICY_DECISION, retryAfterMicros);
            table.removeIfDone(exchange);
        }
    }

    /** Responds that a request failed. */
    public void fail(String id) {
        Exchange exchange = table.get(id);
        if (exchange != null) {
            completion.fail(exchange);
            table.removeIfDone(exchange);
        }
    }

    /** Whether a repetition at this upstream, and the earlier attempts, reach the processes that are listed. */
    public boolean reachesListedProcess(String id, String upstream) {
        Exchange exchange = table.get(id);
        return exchange != null
                && starter.knowsProcess(upstream)
                && exchange.attempts.stream().noneMatch(Attempt::mayHaveRunAtUnknownProcess);
    }

    /** Stops an attempt unless it has ended. */
    public void cancel(String id, int number) {
        Exchange exchange = table.get(id);
        if (exchange != null) {
            Attempt attempt = exchange.attempts.get(number);
            if (!attempt.ended) {
                attempts.stop(attempt, Outcome.CANCELLED, StopReason.POLICY_CANCELLED);
            }
        }
    }
}
