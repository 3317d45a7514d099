package sedgeyoke.simulation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sedgeyoke.plan.PlanMessage;
import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.policy.LoadBalancingPolicy.ListKind;
import sedgeyoke.policy.SerializedEvents;

/**
 * One forwarder: the policy under test in a simulated process, with a model of the real program around it. This class
 * starts and ends the process and delivers events to the policy in order. {@link SimulatedExchangeTable} manages the
 * exchanges, {@link SimulatedPolicyActions} carries out the policy's decisions, {@link UpstreamTransport} manages the
 * connections to upstreams, and {@link SimulatedPlannerClient} those to planners.
 */
final class SimulatedForwarder {
    /** As in the real program: how long it still accepts requests after SIGTERM. */
    private static final long SHUTDOWN_DELAY_MICROS = 550_000;

    private static final long SHUTDOWN_POLL_MICROS = SHUTDOWN_DELAY_MICROS / 10;
    /** Makes the seeds of a policy's incarnations differ. */
    private static final long SEED_STEP = 7919L;

    private final SimulationContext context;
    private final SimulatedUpstreams upstreams;
    private final Spec spec;
    private final LoadBalancingPolicy.Settings settings;
    private final BaselinePolicies.Factory policyFactory;
    private final SimulatedDiscovery.Subscription discovery;
    private final SimulatedClock clock;
    private final SimulatedProcess process;
    private final UpstreamTransport transport;
    private final SimulatedPlannerClient plannerClient;
    private final SimulatedExchangeTable exchanges;
    private final SimulatedPolicyActions actions;
    private final Map<String, SimulatedDiscovery.Endpoint> endpoints = new HashMap<>();
    private SerializedEvents policyEvents = new SerializedEvents();
    private LoadBalancingPolicy policy;
    private boolean shuttingDown;
    private ColdStartDelay coldStart;

    /**
     * A forwarder's identity.
     *
     * @param name the same after a restart
     * @param zone the number of its zone
     * @param seed the seed of its policy's random numbers
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
        this.clock = new SimulatedClock(context);
        this.discovery = discovery.subscribe(this);
        this.process = new SimulatedProcess(context.events);
        this.exchanges = new SimulatedExchangeTable(context, this, process);
        this.actions = new SimulatedPolicyActions(context, this, process, exchanges, this.discovery, settings.limits());
        this.transport = new UpstreamTransport(
                context, upstreams, process, spec.zone(), settings.limits(), exchanges::attemptEnded);
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

    /** Whether the forwarder accepts new requests; the zone's frontend detects a change after a delay. */
    boolean acceptsRequests() {
        return process.running() && !shuttingDown;
    }

    /** The number of exchanges that are not yet answered. */
    long unansweredExchanges() {
        return exchanges.unanswered();
    }

    /** The time of this forwarder's own clock. */
    long localTime() {
        return clock.now();
    }

    // ---- Process life cycle --------------------------------------------------------------------------

    void start() {
        process.start();
        shuttingDown = false;
        coldStart = new ColdStartDelay(context.events, context.scenario.network());
        policy = policyFactory.create(settings, spec.seed() + SEED_STEP * process.incarnation(), actions, upstreams);
        deliver(() -> policy.start(localTime()));
        discovery.deliverAll();
        plannerClient.start(
                spec.seed() * 31 + process.incarnation(), settings.rules().overloadWindowMicros());
    }

    /** Kills the process, as SIGKILL does: exchanges are lost, and their clients' connections are reset. */
    void kill() {
        transport.closeAllIdle();
        process.kill();
        context.checker.balancerKilled(name());
        exchanges.loseAll();
        policyEvents = new SerializedEvents();
        endpoints.clear();
    }

    /** Shuts down, as SIGTERM does: the process ends once all exchanges are complete, or at the timeout. */
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

    /** Delivers an event to the policy, after those that are still being handled. */
    void deliver(Runnable event) {
        policyEvents.handle(event);
    }

    /** The endpoint of an upstream, from the endpoint list of this process; null if it is not listed. */
    SimulatedDiscovery.Endpoint endpoint(String upstream) {
        return endpoints.get(upstream);
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

    /** Handles a request that has reached the running process; the first ones of an incarnation are delayed. */
    void requestReceived(SimulatedExchange exchange) {
        int incarnation = process.incarnation();
        long delayMicros = coldStart.nextRequest();
        if (delayMicros == 0) {
            exchanges.accept(incarnation, exchange, 0);
        } else {
            context.events.schedule(delayMicros, () -> exchanges.accept(incarnation, exchange, delayMicros));
        }
    }
}
