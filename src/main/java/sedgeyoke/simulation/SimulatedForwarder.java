package sedgeyoke.simulation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sedgeyoke.model.UpstreamModel;
import sedgeyoke.plan.PlanMessage;
import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.policy.LoadBalancingPolicy.AttemptEnd;
import sedgeyoke.policy.LoadBalancingPolicy.ListKind;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.policy.LoadBalancingPolicy.Request;
import sedgeyoke.policy.SerializedEvents;

/**
 * One forwarder: the policy under test in a simulated process, with what the real program does around it. It delivers
 * events to the policy in order, performs the policy's actions, answers each exchange once, and ends exchanges whose
 * deadline has come. {@link UpstreamTransport} has the connections, {@link SimulatedPlannerClient} the planners.
 */
final class SimulatedForwarder implements LoadBalancingPolicy.Actions {
    /** As the program has it: what the request's way to the forwarder takes of its deadline. */
    private static final long INBOUND_DELAY_MICROS = 2_000;
    /** As the program has it: so long before its deadline, an exchange is answered whatever happens. */
    private static final long DEADLINE_MARGIN_MICROS = 6_000;
    /** Retry-After where the policy names none. */
    private static final long DEFAULT_RETRY_AFTER_MICROS = 1_000_000;
    /** As the program has it: after SIGTERM it accepts requests for so long. */
    private static final long SHUTDOWN_DELAY_MICROS = 550_000;

    private static final long SHUTDOWN_POLL_MICROS = SHUTDOWN_DELAY_MICROS / 10;
    /** Sets the random numbers of a policy's incarnations apart. */
    private static final long SEED_STEP = 7919L;

    private final SimulationContext context;
    private final SimulatedUpstreams upstreams;
    private final Spec spec;
    private final LoadBalancingPolicy.Settings settings;
    private final BaselinePolicies.Factory policyFactory;
    private final SimulatedDiscovery.Subscription discovery;
    private final long clockSkewMicros;
    private final double clockDrift;
    private final SimulatedProcess process;
    private final UpstreamTransport transport;
    private final SimulatedPlannerClient plannerClient;
    private final Map<String, SimulatedExchange> exchanges = new HashMap<>();
    private final Map<String, SimulatedDiscovery.Endpoint> endpoints = new HashMap<>();
    private SerializedEvents policyEvents = new SerializedEvents();
    private LoadBalancingPolicy policy;
    private boolean shuttingDown;
    private ColdStartDelay coldStart;

    /**
     * A forwarder's identity.
     *
     * @param name unchanged by a restart
     * @param zone its zone
     * @param seed of its policy's random numbers
     */
    record Spec(String name, int zone, long seed) {}

    SimulatedForwarder(
            SimulationContext context,
            SimulatedUpstreams upstreams,
            SimulatedDiscovery discovery,
            Spec spec,
            LoadBalancingPolicy.Settings settings,
            BaselinePolicies.Factory policyFactory,
            List<SimulatedPlanner> planners) {
        this.context = context;
        this.upstreams = upstreams;
        this.spec = spec;
        this.settings = settings;
        this.policyFactory = policyFactory;
        Scenario.Network network = context.scenario.network();
        long maxSkewMicros = network.clockSkewMs() * 1_000;
        this.clockSkewMicros = maxSkewMicros == 0 ? 0 : context.random.nextLong(-maxSkewMicros, maxSkewMicros + 1);
        this.clockDrift = network.clockDriftPpm() * 1e-6 * (2 * context.random.nextDouble() - 1);
        this.discovery = discovery.subscribe(this);
        this.process = new SimulatedProcess(context.events);
        this.transport =
                new UpstreamTransport(context, upstreams, process, spec.zone(), settings.limits(), this::attemptEnded);
        this.plannerClient = new SimulatedPlannerClient(context, this, process, planners);
    }

    String name() {
        return spec.name();
    }

    int zone() {
        return spec.zone();
    }

    UpstreamTransport transport() {
        return transport;
    }

    LoadBalancingPolicy policy() {
        return policy;
    }

    boolean isRunning() {
        return process.running();
    }

    /** Whether new requests are sent to it, once its state is known. */
    boolean acceptsRequests() {
        return process.running() && !shuttingDown;
    }

    /** Exchanges that are still to be answered. */
    long unansweredExchanges() {
        return exchanges.values().stream()
                .filter(exchange -> !exchange.answered())
                .count();
    }

    /** The time of its own clock. */
    long localTime() {
        long now = context.events.now();
        return now + clockSkewMicros + (long) (clockDrift * (now - SimulationContext.START));
    }

    // ---- Process life cycle --------------------------------------------------------------------------

    void start() {
        process.start();
        shuttingDown = false;
        coldStart = new ColdStartDelay(context.events, context.scenario.network());
        policy = policyFactory.create(settings, spec.seed() + SEED_STEP * process.incarnation(), this, upstreams);
        deliver(() -> policy.start(localTime()));
        discovery.deliverAll();
        plannerClient.start(
                spec.seed() * 31 + process.incarnation(), settings.rules().overloadWindowMicros());
    }

    /** SIGKILL: exchanges are lost, and their clients' connections are reset. */
    void kill() {
        transport.closeAllIdle();
        process.kill();
        context.checker.balancerKilled(name());
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
        policyEvents = new SerializedEvents();
        endpoints.clear();
    }

    /** SIGTERM: the process ends once all exchanges are complete, or when its time is up. */
    void shutDown(long timeoutMicros, Runnable afterwards) {
        if (!acceptsRequests()) {
            return;
        }
        shuttingDown = true;
        int incarnation = process.incarnation();
        long deadlineMicros = context.events.now() + timeoutMicros;
        context.events.schedule(SHUTDOWN_DELAY_MICROS, () -> endWhenIdle(incarnation, deadlineMicros, afterwards));
    }

    private void endWhenIdle(int incarnation, long deadlineMicros, Runnable afterwards) {
        if (!process.isRunning(incarnation)) {
            return;
        }
        if (exchanges.isEmpty() || context.events.now() >= deadlineMicros) {
            kill();
            afterwards.run();
        } else {
            context.events.schedule(SHUTDOWN_POLL_MICROS, () -> endWhenIdle(incarnation, deadlineMicros, afterwards));
        }
    }

    void restart() {
        context.checker.balancerRestarted(name());
        start();
    }

    void pauseUntil(long timeMicros) {
        process.pauseUntil(timeMicros);
    }

    // ---- Events for the policy -----------------------------------------------------------------------

    /** Delivers an event to the policy, after those that it is still handling. */
    void deliver(Runnable event) {
        policyEvents.handle(event);
    }

    void receivePlan(PlanMessage plan, long delayMicros) {
        plannerClient.receivePlan(plan, delayMicros);
    }

    void endpointsChanged(ListKind kind, List<SimulatedDiscovery.Endpoint> changed) {
        process.execute(process.incarnation(), () -> {
            if (kind == ListKind.COMPLETE) {
                endpoints.clear();
            }
            changed.forEach(this::updateEndpoint);
            deliver(() -> policy.endpointsUpdated(
                    localTime(),
                    kind,
                    changed.stream().map(SimulatedDiscovery.Endpoint::upstream).toList()));
        });
    }

    private void updateEndpoint(SimulatedDiscovery.Endpoint endpoint) {
        SimulatedDiscovery.Endpoint previous =
                endpoint.isRemoved() ? endpoints.remove(endpoint.id()) : endpoints.put(endpoint.id(), endpoint);
        if (previous != null && previous.isReplacedBy(endpoint)) {
            transport.closeIdle(previous.address());
        }
    }

    /** A request has reached the running process; the first ones of an incarnation are delayed. */
    void requestReceived(SimulatedExchange exchange) {
        int incarnation = process.incarnation();
        long delayMicros = coldStart.nextRequest();
        if (delayMicros == 0) {
            accept(incarnation, exchange, 0);
        } else {
            context.events.schedule(delayMicros, () -> accept(incarnation, exchange, delayMicros));
        }
    }

    private void accept(int incarnation, SimulatedExchange exchange, long waitedMicros) {
        if (incarnation != process.incarnation()) { // the process was killed meanwhile
            exchange.client().connectionLost();
            return;
        }
        process.execute(incarnation, () -> {
            Request request = exchange.request();
            long timeLeftMicros = request.timeLeftMicros() - INBOUND_DELAY_MICROS - waitedMicros;
            exchange.setDeadline(context.events.now() + timeLeftMicros);
            exchanges.put(exchange.id(), exchange);
            process.schedule(timeLeftMicros - DEADLINE_MARGIN_MICROS, () -> expire(exchange));
            deliver(() -> policy.requestArrived(
                    localTime(),
                    new Request(
                            request.id(),
                            request.classIndex(),
                            request.tenant(),
                            request.affinityKey(),
                            request.expectedWork(),
                            timeLeftMicros,
                            request.write(),
                            request.retry())));
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
            deliver(() -> policy.clientDisconnected(localTime(), exchange.id()));
        }
        removeIfComplete(exchange);
    }

    private void answer(SimulatedExchange exchange, SimulatedClients.Answer answer, long retryAfterMicros) {
        if (!exchange.answered()) {
            exchange.markAnswered();
            context.events.schedule(
                    context.drawDelay(spec.zone(), exchange.client().zone()),
                    () -> exchange.client().answered(answer, retryAfterMicros));
        }
    }

    private void removeIfComplete(SimulatedExchange exchange) {
        if (exchange.isComplete()) {
            exchanges.remove(exchange.id(), exchange);
        }
    }

    private void attemptEnded(SimulatedAttempt attempt, Outcome outcome, UpstreamModel.Answer answer) {
        if (attempt.ended()) {
            return;
        }
        attempt.markEnded();
        SimulatedExchange exchange = attempt.exchange();
        if (outcome == Outcome.OK) {
            answer(exchange, SimulatedClients.Answer.SERVED, 0);
        }
        transport.releaseConnection(attempt, answer != null);
        AttemptEnd end = new AttemptEnd(
                exchange.id(),
                attempt.number(),
                attempt.upstreamId(),
                outcome,
                context.events.now() - attempt.startedAtMicros(),
                exchange.answered(),
                answer == null ? null : LoadReports.of(answer));
        deliver(() -> policy.attemptEnded(localTime(), end));
        removeIfComplete(exchange);
    }

    // ---- Actions of the policy -----------------------------------------------------------------------

    @Override
    public void send(String request, String upstream, long timeout) {
        SimulatedExchange exchange = exchanges.get(request);
        if (exchange == null) {
            return;
        }
        SimulatedDiscovery.Endpoint target = endpoints.get(upstream);
        SimulatedAttempt attempt = new SimulatedAttempt(
                exchange,
                upstream,
                target == null ? -1 : target.address(),
                context.events.now(),
                process.incarnation(),
                transport);
        exchange.attempts().add(attempt);
        if (exchange.answered() || target == null || context.events.now() >= exchange.deadlineMicros()) {
            attemptEnded(attempt, Outcome.NOT_SENT, null);
        } else {
            transport.send(attempt, target);
        }
    }

    @Override
    public void reject(String request, long retryAfter) {
        LoadBalancingPolicy.Limits limits = settings.limits();
        long retryAfterMicros = retryAfter > 0 ? retryAfter : DEFAULT_RETRY_AFTER_MICROS;
        finish(
                request,
                SimulatedClients.Answer.REJECTED,
                limits.retryAfter() ? Math.min(retryAfterMicros, limits.maxRetryAfterMicros()) : 0);
    }

    @Override
    public void fail(String request) {
        finish(request, SimulatedClients.Answer.FAILED, 0);
    }

    private void finish(String request, SimulatedClients.Answer answer, long retryAfterMicros) {
        SimulatedExchange exchange = exchanges.get(request);
        if (exchange != null) {
            answer(exchange, answer, retryAfterMicros);
            removeIfComplete(exchange);
        }
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
            attemptEnded(attempt, Outcome.CANCELLED, null);
        }
    }

    @Override
    public void setTimer(LoadBalancingPolicy.Timer timer, long delayMicros) {
        process.schedule(delayMicros, () -> deliver(() -> policy.timerFired(localTime(), timer)));
    }

    @Override
    public void healthCheck(String upstream) {
        transport.checkHealth(
                endpoints.get(upstream),
                (outcome, load) -> deliver(() -> policy.healthCheckCompleted(localTime(), upstream, outcome, load)));
    }

    @Override
    public void closeIdle(String upstream) {
        SimulatedDiscovery.Endpoint target = endpoints.get(upstream);
        if (target != null) {
            transport.closeIdle(target.address());
        }
    }

    @Override
    public void watchEndpoints(boolean on) {
        // Watch events always come.
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
        // Log lines are not part of a run's outcome.
    }
}
