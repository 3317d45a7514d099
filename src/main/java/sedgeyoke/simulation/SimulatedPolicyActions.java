package sedgeyoke.simulation;

import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;

/** Carries out the decisions of one forwarder's policy. */
final class SimulatedPolicyActions implements LoadBalancingPolicy.Actions {
    /** Retry-After of a rejection for which the policy sets none. */
    private static final long DEFAULT_RETRY_AFTER_MICROS = 1_000_000;

    private static final int UNKNOWN_ADDRESS = -1;

    private final SimulationContext context;
    private final SimulatedForwarder forwarder;
    private final SimulatedProcess process;
    private final SimulatedExchangeTable exchanges;
    private final SimulatedDiscovery.Subscription discovery;
    private final LoadBalancingPolicy.Limits limits;

    SimulatedPolicyActions(
            SimulationContext context,
            SimulatedForwarder forwarder,
            SimulatedProcess process,
            SimulatedExchangeTable exchanges,
            SimulatedDiscovery.Subscription discovery,
            LoadBalancingPolicy.Limits limits) {
        this.context = context;
        this.forwarder = forwarder;
        this.process = process;
        this.exchanges = exchanges;
        this.discovery = discovery;
        this.limits = limits;
    }

    @Override
    public void send(String request, String upstream, long timeout) {
        SimulatedExchange exchange = exchanges.get(request);
        if (exchange == null) {
            return;
        }
        SimulatedDiscovery.Endpoint target = forwarder.endpoint(upstream);
        SimulatedAttempt attempt = new SimulatedAttempt(
                exchange,
                upstream,
                target == null ? UNKNOWN_ADDRESS : target.address(),
                context.events.now(),
                process.incarnation(),
                forwarder.transport());
        exchange.attempts().add(attempt);
        if (exchange.answered() || target == null || context.events.now() >= exchange.deadlineMicros()) {
            exchanges.attemptEnded(attempt, Outcome.NOT_SENT, null);
        } else {
            forwarder.transport().send(attempt, target);
        }
    }

    @Override
    public void reject(String request, long retryAfter) {
        long retryAfterMicros = retryAfter > 0 ? retryAfter : DEFAULT_RETRY_AFTER_MICROS;
        exchanges.finish(
                request,
                SimulatedClients.Answer.REJECTED,
                limits.retryAfter() ? Math.min(retryAfterMicros, limits.maxRetryAfterMicros()) : 0);
    }

    @Override
    public void fail(String request) {
        exchanges.finish(request, SimulatedClients.Answer.FAILED, 0);
    }

    @Override
    public void cancel(String request, int attemptNumber) {
        SimulatedExchange exchange = exchanges.get(request);
        if (exchange == null) {
            return;
        }
        SimulatedAttempt attempt = exchange.attempts().get(attemptNumber);
        if (!attempt.ended()) {
            attempt.abandon();
            exchanges.attemptEnded(attempt, Outcome.CANCELLED, null);
        }
    }

    @Override
    public void setTimer(LoadBalancingPolicy.Timer timer, long delayMicros) {
        process.schedule(
                delayMicros,
                () -> forwarder.deliver(() -> forwarder.policy().timerFired(forwarder.localTime(), timer)));
    }

    @Override
    public void healthCheck(String upstream) {
        forwarder
                .transport()
                .checkHealth(
                        forwarder.endpoint(upstream),
                        (outcome, load) -> forwarder.deliver(() -> forwarder
                                .policy()
                                .healthCheckCompleted(forwarder.localTime(), upstream, outcome, load)));
    }

    @Override
    public void closeIdle(String upstream) {
        SimulatedDiscovery.Endpoint target = forwarder.endpoint(upstream);
        if (target != null) {
            forwarder.transport().closeIdle(target.address());
        }
    }

    @Override
    public void watchEndpoints(boolean on) {
        // Watch events are always delivered.
    }

    @Override
    public void fetchEndpoints() {
        discovery.deliverAll();
    }

    @Override
    public void sendToPeer(int peer, byte[] body) {
        throw new UnsupportedOperationException("gossip is not simulated");
    }

    @Override
    public void log(String text) {
        // Log lines are not part of a run's result.
    }
}
