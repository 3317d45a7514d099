package sedgeyoke.proxy;

import io.netty.channel.EventLoop;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import sedgeyoke.body.BodyBudget;
import sedgeyoke.body.BodyLimits;
import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.policy.LoadBalancingPolicy.ListKind;
import sedgeyoke.policy.UtilizationWeightedPolicy;

/**
 * Connects the policy with the exchanges, the connection pool and discovery of one balancer, and is what the frontend
 * and other features call. Event loop only.
 */
final class ProxyCore implements PolicyPort {
    /** SIGKILL does not wait for longer deadlines (PROTOCOL, "Figures"). */
    private static final long MAX_DEADLINE_MICROS = 3_000_000;
    /** Share of the sockets for connections to upstreams; clients have one each, too. */
    private static final double UPSTREAM_SOCKET_SHARE = 0.35;

    private final EventLoop loop;
    private final BalancerConfig config;
    private final LoadBalancingPolicy.Settings settings;
    private final BodyLimits bodies;
    private final BodyBudget budget;
    private final PolicyClock clock = new PolicyClock();
    private final RateLimitedLog log;
    private final RequestMetrics metrics;
    private final PolicyEvents events;
    private final ExchangeTable exchanges;
    private final UpstreamConnectionPool pool;
    private final DiscoveryClient discovery;
    private final DiscoveryMetrics discoveryMetrics = new DiscoveryMetrics();
    private final ConfirmedList confirmedList;
    private final Cordons cordons;
    private boolean started;

    ProxyCore(EventLoop loop, BalancerConfig config, Transport transport, BodyLimits bodies) {
        this(
                loop,
                config,
                transport,
                bodies,
                actions ->
                        new UtilizationWeightedPolicy(config.instanceSettings().settings(), config.seed(), actions));
    }

    /** For tests, which bring a policy of their own. */
    ProxyCore(
            EventLoop loop,
            BalancerConfig config,
            Transport transport,
            BodyLimits bodies,
            Function<LoadBalancingPolicy.Actions, LoadBalancingPolicy> policy) {
        this.loop = loop;
        this.config = config;
        this.settings = config.instanceSettings().settings();
        this.bodies = bodies;
        this.budget = new BodyBudget(bodies);
        this.log = new RateLimitedLog(transport.log(), config.name(), clock::now);
        this.metrics = new RequestMetrics(config.instanceSettings().classNames());
        this.events = new PolicyEvents(log);
        this.confirmedList = new ConfirmedList(loop, log);
        this.exchanges = new ExchangeTable(loop, clock, settings, bodies, events, metrics, confirmedList, log);
        UpstreamContext context = new UpstreamContext(
                loop, clock::now, settings, config.instanceSettings().reportNames(), bodies, budget, exchanges, log);
        int maxUpstreamConnections = (int) (UPSTREAM_SOCKET_SHARE * config.sockets());
        this.pool = new UpstreamConnectionPool(context, transport, maxUpstreamConnections, metrics);
        this.discovery =
                new DiscoveryClient(loop, config, transport, clock::now, new ListReceiver(), log, discoveryMetrics);
        this.cordons = new Cordons(clock, events, pool, new CordonStore(cordonFile(config)), log);
        PolicyActions actions = new PolicyActions(loop, clock, settings, events, exchanges, pool, discovery, log);
        events.connect(policy.apply(actions), exchanges::endUnanswered);
    }

    /** The file that the processes of one balancer share during an upgrade; null where there is no admin endpoint. */
    private static Path cordonFile(BalancerConfig config) {
        if (config.ops() == null || config.folder() == null) {
            return null;
        }
        return config.folder().resolve("sedgeyoke-cordons-" + config.name().replaceAll("[^A-Za-z0-9_-]", "_"));
    }

    /**
     * Starts with the endpoint list of the configuration, which discovery has to confirm before requests are forwarded
     * by it. Does nothing if it was called before.
     */
    void start() {
        if (started) {
            return;
        }
        started = true;
        confirmedList.start();
        events.deliver(() -> events.policy().start(now()));
        EndpointList known = config.known();
        pool.update(known);
        events.deliver(() -> events.policy().endpointsUpdated(now(), ListKind.RESTORED, known.upstreams()));
        if (!settings.subscribesToEndpoints()) {
            discovery.watch(true);
        }
        if (config.ops() != null) {
            cordons.start(loop);
        }
    }

    /** Takes over what discovery answers. */
    private final class ListReceiver implements DiscoveryClient.Listener {
        @Override
        public void listed(EndpointList list) {
            discoveryMetrics.count(DiscoveryMetrics.Event.LIST_ACCEPTED);
            EndpointChanges changes = pool.update(list);
            log.state("endpoints: revision " + list.revision() + (list.complete() ? " complete: " : ": ") + changes);
            ListKind kind = list.complete() ? ListKind.COMPLETE : ListKind.CHANGES;
            events.deliver(() -> events.policy().endpointsUpdated(now(), kind, list.upstreams()));
        }

        @Override
        public void confirmed() {
            confirmedList.confirmed();
        }

        @Override
        public void unavailable() {
            events.deliver(() -> events.policy().endpointsUnavailable(now()));
        }
    }

    /** Takes over what may change without a restart, from a configuration that was read again. */
    void reload(BalancerConfig changed) {
        List<String> fixed = config.needRestart(changed);
        if (!fixed.isEmpty()) {
            log.line("reload: " + String.join(", ", fixed) + " stay as they are until a restart");
        }
        log.line("reload: discovery at " + changed.discovery());
        discovery.moveTo(changed.discovery());
    }

    /** Whether clients may be taken: discovery has answered, or the configured list has to do. */
    boolean ready() {
        return discovery.hasList() || !config.known().members().isEmpty() && confirmedList.released();
    }

    // ---- For the frontend ----------------------------------------------------------------------------

    RateLimitedLog log() {
        return log;
    }

    /** What bodies that are being streamed hold in total. */
    BodyBudget budget() {
        return budget;
    }

    /** Whether a request with this id is open; each request has an id of its own. */
    boolean knows(String id) {
        return exchanges.get(id) != null;
    }

    /** Takes a client's request; it is owed one response from here on. */
    void accept(Exchange exchange) {
        exchanges.accept(exchange);
    }

    /** The client has closed its connection before its response. */
    void clientDisconnected(Exchange exchange) {
        exchanges.clientDisconnected(exchange);
    }

    /** The client will send no more of a body of which a part was forwarded. */
    void requestBodyAborted(Exchange exchange) {
        exchanges.requestBodyAborted(exchange);
    }

    /** Answers an exchange that a fault of ours leaves open. */
    void endUnanswered(Exchange exchange) {
        exchanges.endUnanswered(exchange);
    }

    /** Counts a request that was rejected without an exchange of its own. */
    void countRejected(int classIndex) {
        metrics.ended(classIndex, RequestMetrics.End.REJECTED);
    }

    /** The Retry-After of a rejection, in microseconds; 0 where none is allowed. */
    long retryAfter(long advisedMicros) {
        return exchanges.retryAfter(advisedMicros);
    }

    // ---- Graceful shutdown ---------------------------------------------------------------------------

    /** The longest that clients wait for a response, in microseconds, as far as the platform waits for it. */
    long longestDeadline() {
        long longest = settings.classes().stream()
                .mapToLong(LoadBalancingPolicy.RequestClass::clientTimeoutMicros)
                .max()
                .orElse(0);
        return Math.min(MAX_DEADLINE_MICROS, longest);
    }

    /** No response is out later than {@code lastResponse}, and requests are rejected from {@code lastRequest} on. */
    void limitTimes(long lastResponse, long lastRequest) {
        exchanges.limitTimes(lastResponse, lastRequest);
    }

    /** Ends what is still open, just before the process is killed. */
    void endAll() {
        exchanges.endAll();
    }

    /** Whether no exchange is open. */
    boolean idle() {
        return exchanges.isEmpty();
    }

    /** Logs how much memory streamed bodies have used, where they are on. */
    void reportBodies() {
        if (bodies.streaming()) {
            log.line("bodies: at most " + budget.largest() + " of " + bodies.ceiling()
                    + " bytes held for one in a direction, " + budget.rejected() + " refused for want of room");
        }
    }

    // ---- For operators and other features ------------------------------------------------------------

    /** Cordons an upstream or ends that; false for an id that nobody has. */
    boolean cordon(String id, boolean cordoned) {
        return cordons.set(id, cordoned);
    }

    /** Metrics as text; {@code inFlight} is the number of requests that are taken and not yet answered. */
    String metrics(int inFlight) {
        List<LoadBalancingPolicy.UpstreamStatus> upstreams =
                events.policy().summary(now()).upstreams();
        int excluded = (int) upstreams.stream()
                .filter(upstream -> upstream.ejected() || upstream.state() != LoadBalancingPolicy.State.READY)
                .count();
        return metrics.text(inFlight, upstreams.size(), excluded, discoveryMetrics);
    }

    @Override
    public long now() {
        return clock.now();
    }

    @Override
    public void deliver(Runnable event) {
        events.deliver(event);
    }

    @Override
    public LoadBalancingPolicy policy() {
        return events.policy();
    }

    @Override
    public void setFleetCordons(Set<String> upstreams) {
        cordons.setFleetWide(upstreams);
    }

    @Override
    public void log(String text) {
        log.line(text);
    }
}
