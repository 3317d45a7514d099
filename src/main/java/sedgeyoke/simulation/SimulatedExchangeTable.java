package sedgeyoke.simulation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sedgeyoke.model.UpstreamModel;
import sedgeyoke.policy.LoadBalancingPolicy.AttemptEnd;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.policy.LoadBalancingPolicy.Request;

/** The exchanges of one forwarder: each is answered once, by its deadline, and removed when all attempts have ended. */
final class SimulatedExchangeTable {
    /** As in the real program: the part of the client's time allowed for the request's way to the forwarder. */
    private static final long INBOUND_DELAY_MICROS = 2_000;
    /** As in the real program: how long before its deadline an open exchange is answered without waiting further. */
    private static final long DEADLINE_MARGIN_MICROS = 6_000;

    private final SimulationContext context;
    private final SimulatedForwarder forwarder;
    private final SimulatedProcess process;
    private final Map<String, SimulatedExchange> exchanges = new HashMap<>();

    SimulatedExchangeTable(SimulationContext context, SimulatedForwarder forwarder, SimulatedProcess process) {
        this.context = context;
        this.forwarder = forwarder;
        this.process = process;
    }

    boolean isEmpty() {
        return exchanges.isEmpty();
    }

    /** The number of exchanges that are not yet answered. */
    long unanswered() {
        return exchanges.values().stream()
                .filter(exchange -> !exchange.answered())
                .count();
    }

    /** Returns the exchange with this id; null if it is complete or unknown. */
    SimulatedExchange get(String id) {
        return exchanges.get(id);
    }

    /** Adds an exchange that reached the given incarnation of the process and was delayed in it. */
    void accept(int incarnation, SimulatedExchange exchange, long delayMicros) {
        if (incarnation != process.incarnation()) { // the process was killed in the meantime
            exchange.client().connectionLost();
            return;
        }
        process.execute(incarnation, () -> {
            Request request = exchange.request();
            long timeLeftMicros = request.timeLeftMicros() - INBOUND_DELAY_MICROS - delayMicros;
            exchange.setDeadline(context.events.now() + timeLeftMicros);
            exchanges.put(exchange.id(), exchange);
            process.schedule(timeLeftMicros - DEADLINE_MARGIN_MICROS, () -> expire(exchange));
            Request arrived = new Request(
                    request.id(),
                    request.classIndex(),
                    request.tenant(),
                    request.affinityKey(),
                    request.expectedWork(),
                    timeLeftMicros,
                    request.write(),
                    request.retry());
            forwarder.deliver(() -> forwarder.policy().requestArrived(forwarder.localTime(), arrived));
        });
    }

    private void expire(SimulatedExchange exchange) {
        for (SimulatedAttempt attempt : List.copyOf(exchange.attempts())) {
            if (!attempt.ended()) {
                attempt.abandon();
                attemptEnded(attempt, attempt.written() ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED, null);
            }
        }
        if (!exchange.answered()) {
            boolean mayHaveRun = exchange.attempts().stream().anyMatch(SimulatedAttempt::written);
            answer(exchange, mayHaveRun ? SimulatedClients.Answer.FAILED : SimulatedClients.Answer.REJECTED, 0);
            forwarder.deliver(() -> forwarder.policy().clientDisconnected(forwarder.localTime(), exchange.id()));
        }
        removeIfComplete(exchange);
    }

    /** Answers an exchange unless it is answered or complete; {@code retryAfterMicros} is 0 for no Retry-After. */
    void finish(String id, SimulatedClients.Answer answer, long retryAfterMicros) {
        SimulatedExchange exchange = exchanges.get(id);
        if (exchange != null) {
            answer(exchange, answer, retryAfterMicros);
            removeIfComplete(exchange);
        }
    }

    private void answer(SimulatedExchange exchange, SimulatedClients.Answer answer, long retryAfterMicros) {
        if (!exchange.answered()) {
            exchange.markAnswered();
            context.events.schedule(
                    context.drawDelay(forwarder.zone(), exchange.client().zone()),
                    () -> exchange.client().answered(answer, retryAfterMicros));
        }
    }

    /** Records the end of an attempt and notifies the policy; {@code answer} is null if the upstream sent none. */
    void attemptEnded(SimulatedAttempt attempt, Outcome outcome, UpstreamModel.Answer answer) {
        if (attempt.ended()) {
            return;
        }
        attempt.markEnded();
        SimulatedExchange exchange = attempt.exchange();
        if (outcome == Outcome.OK) {
            answer(exchange, SimulatedClients.Answer.SERVED, 0);
        }
        forwarder.transport().releaseConnection(attempt, answer != null);
        AttemptEnd end = new AttemptEnd(
                exchange.id(),
                attempt.number(),
                attempt.upstreamId(),
                outcome,
                context.events.now() - attempt.startedAtMicros(),
                exchange.answered(),
                answer == null ? null : LoadReports.of(answer));
        forwarder.deliver(() -> forwarder.policy().attemptEnded(forwarder.localTime(), end));
        removeIfComplete(exchange);
    }

    private void removeIfComplete(SimulatedExchange exchange) {
        if (exchange.isComplete()) {
            exchanges.remove(exchange.id(), exchange);
        }
    }

    /** Ends all exchanges as the process was killed: the policy is not notified, and client connections are reset. */
    void loseAll() {
        for (SimulatedExchange exchange : exchanges.values()) {
            for (SimulatedAttempt attempt : exchange.attempts()) {
                attempt.abandon();
                attempt.markEnded();
            }
            if (!exchange.answered()) {
                exchange.client().connectionLost();
            }
        }
        exchanges.clear();
    }
}
