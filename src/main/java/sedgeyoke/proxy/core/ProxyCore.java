package sedgeyoke.proxy.core;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import sedgeyoke.body.BodyBudget;
import sedgeyoke.body.BodyLimits;
import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.policy.LoadBalancingPolicy.ListKind;
import sedgeyoke.policy.UtilizationWeightedPolicy;
import sedgeyoke.proxy.common.RateLimitedLog;
import sedgeyoke.proxy.common.ReadBarrier;
import sedgeyoke.proxy.common.Transport;
import sedgeyoke.proxy.config.BalancerConfig;
import sedgeyoke.proxy.config.EndpointList;
import sedgeyoke.proxy.discovery.DiscoveryClient;
import sedgeyoke.proxy.discovery.DiscoveryMetrics;
import sedgeyoke.proxy.discovery.InitialListBarrier;
import sedgeyoke.proxy.exchange.AttemptProgress;
import sedgeyoke.proxy.exchange.Exchange;
import sedgeyoke.proxy.exchange.ExchangeActions;
import sedgeyoke.proxy.exchange.ExchangeCompletion;
import sedgeyoke.proxy.exchange.ExchangeDeadlines;
import sedgeyoke.proxy.exchange.ExchangeLifecycle;
import sedgeyoke.proxy.exchange.ExchangeLog;
import sedgeyoke.proxy.exchange.ExchangeTable;
import sedgeyoke.proxy.exchange.PolicyClock;
import sedgeyoke.proxy.exchange.PolicyEvents;
import sedgeyoke.proxy.exchange.RejectionReason;
import sedgeyoke.proxy.exchange.RequestMetrics;
import sedgeyoke.proxy.upstream.EndpointTable;
import sedgeyoke.proxy.upstream.UpstreamConnectionPool;
import sedgeyoke.proxy.upstream.UpstreamContext;

/**
 * Connects the policy with the exchanges, the connection pool and discovery of one balancer, and offers the methods
 * that the frontend and other features call. Event loop only.
 *
 * <p>A process starts in this order:
 *
 * <ol>
 *   <li>{@code BalancerMain} first installs the handler of SIGHUP, then reads the configuration and builds the
 *       balancer; nothing runs yet.
 *   <li>{@link #start} runs on the event loop: the time limit of the {@link InitialListBarrier} begins; the policy
 *       starts, and gets the endpoint list of the configuration as {@link ListKind#RESTORED}; {@link DiscoveryClient}
 *       sends its first call, which discovery answers without delay (if lists are polled, the policy's subscription
 *       sends it); the stored cordons ({@link CordonRegistry}) are read.
 *   <li>Meanwhile {@code JitWarmUp} serves requests in the process, on a thread of its own, so that the JIT compiles
 *       the code. This may outlast the limit of the barrier; then requests are forwarded as soon as the listener is
 *       bound.
 *   <li>{@code BalancerMain} installs the shutdown hook and only then binds the listener: from here on clients can
 *       connect, and each accepted request gets a response even if SIGTERM comes now.
 *   <li>Requests that arrive before the first response of discovery are queued in the {@link InitialListBarrier}. They
 *       are released by that response, or by the time limit 1 s after the first call.
 *   <li>From the first list of discovery on, a newly listed launch counts as recent in the policy's
 *       {@code LaunchTimes}; the list of the configuration may contain launches of any age.
 *   <li>The admin endpoint is bound, and the optional features start.
 * </ol>
 */
public final class ProxyCore implements PolicyPort {
    /** The longest deadline that the platform waits for before it sends SIGKILL (PROTOCOL, "Figures"). */
    private static final long MAX_DEADLINE_MICROS = 3_000_000;
    /** Share of the sockets that connections to upstreams may use; each client needs a socket, too. */
    private static final double UPSTREAM_SOCKET_SHARE = 0.35;

    private final EventLoop loop;
    private final BalancerConfig config;
    private final LoadBalancingPolicy.Settings settings;
    private final BodyLimits bodies;
    private final BodyBudget budget;
    private final PolicyClock clock = new PolicyClock();
    private final ReadBarrier reads;
    private final RateLimitedLog log;
    private final RequestMetrics metrics;
    private final PolicyEvents events;
    private final ExchangeTable table;
    private final ExchangeDeadlines deadlines;
    private final ExchangeCompletion completion;
    private final ExchangeLifecycle exchanges;
    private final EndpointTable endpoints;
    private final DiscoveryClient discovery;
    private final DiscoveryMetrics discoveryMetrics = new DiscoveryMetrics();
    private final InitialListBarrier initialListBarrier;
    private final CordonRegistry cordons;
    private boolean started;

    /** Creates a balancer with a {@link UtilizationWeightedPolicy} that is set up by the configuration. */
    public ProxyCore(EventLoop loop, BalancerConfig config, Transport transport, BodyLimits bodies) {
        this(
                loop,
                config,
                transport,
                bodies,
                actions ->
                        new UtilizationWeightedPolicy(config.instanceSettings().settings(), config.seed(), actions));
    }

    /** Creates a balancer with another policy; for tests. */
    public ProxyCore(
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
        this.reads = new ReadBarrier(loop, clock::now);
        this.log = new RateLimitedLog(transport.log(), config.name(), clock::now);
        this.metrics = new RequestMetrics(config.instanceSettings().classNames());
        this.events = new PolicyEvents(log);
        this.initialListBarrier = new InitialListBarrier(loop, log);
        this.table = new ExchangeTable(settings, clock);
        this.deadlines = new ExchangeDeadlines(reads, clock, bodies);
        ExchangeLog exchangeLog = new ExchangeLog(log, clock);
        this.completion = new ExchangeCompletion(clock, settings, events, metrics, table, exchangeLog);
        AttemptProgress attempts =
                new AttemptProgress(clock, settings, events, metrics, table, completion, exchangeLog);
        this.exchanges =
                new ExchangeLifecycle(clock, events, initialListBarrier, table, deadlines, attempts, completion);
        deadlines.setExpiryHandler(exchanges::expire);
        this.endpoints = new EndpointTable(transport);
        UpstreamConnectionPool pool = createPool(transport, attempts);
        this.discovery = createDiscoveryClient(transport);
        this.cordons = new CordonRegistry(clock, events, endpoints, CordonRegistry.createStore(config), log);
        ExchangeActions exchangeActions =
                new ExchangeActions(reads, clock, settings, table, attempts, completion, pool);
        PolicyTimers timers = new PolicyTimers(loop, reads, clock, events);
        PolicyActions actions = new PolicyActions(settings, exchangeActions, pool, discovery, timers, log, exchangeLog);
        events.connect(
                policy.apply(actions), exchange -> completion.endUnanswered(exchange, RejectionReason.POLICY_FAULT));
    }

    private UpstreamConnectionPool createPool(Transport transport, AttemptProgress attempts) {
        UpstreamContext context = new UpstreamContext(
                loop,
                reads,
                clock::now,
                settings,
                config.instanceSettings().reportNames(),
                bodies,
                budget,
                attempts,
                log);
        int maxConnections = (int) (UPSTREAM_SOCKET_SHARE * config.sockets());
        return new UpstreamConnectionPool(context, transport, endpoints, maxConnections, metrics);
    }

    private DiscoveryClient createDiscoveryClient(Transport transport) {
        EndpointListReceiver receiver =
                new EndpointListReceiver(clock, events, endpoints, initialListBarrier, discoveryMetrics, log);
        return new DiscoveryClient(loop, config, transport, clock::now, receiver, log, discoveryMetrics);
    }

    /**
     * Starts the policy and discovery, and the policy with the endpoint list of the configuration. Requests are queued
     * until discovery confirms the list or the limit of the {@link InitialListBarrier} is over. Does nothing if it was
     * called before.
     */
    public void start() {
        if (started) {
            return;
        }
        started = true;
        initialListBarrier.start();
        events.deliver(() -> events.policy().start(now()));
        EndpointList configured = config.configuredEndpoints();
        endpoints.update(configured);
        events.deliver(() -> events.policy().endpointsUpdated(now(), ListKind.RESTORED, configured.upstreams()));
        if (!settings.subscribesToEndpoints()) {
            discovery.startWatching();
        }
        if (config.adminAddress() != null) {
            cordons.start(loop);
        }
    }

    /** Applies the changes of a reloaded configuration that need no restart. */
    public void reload(BalancerConfig changed) {
        List<String> fieldsThatNeedRestart = config.needRestart(changed);
        if (!fieldsThatNeedRestart.isEmpty()) {
            log.line("reload: changes to " + String.join(", ", fieldsThatNeedRestart) + " are ignored until a restart");
        }
        log.line("reload: discovery at " + changed.discovery());
        discovery.moveTo(changed.discovery());
    }

    /**
     * Whether to accept clients: discovery has sent a list, or the configuration has one and the {@link
     * InitialListBarrier} no longer queues requests.
     */
    public boolean ready() {
        return discovery.hasList()
                || (!config.configuredEndpoints().members().isEmpty() && initialListBarrier.isReleased());
    }

    // ---- For the frontend ----------------------------------------------------------------------------

    /** The log of this balancer. */
    public RateLimitedLog log() {
        return log;
    }

    /** Delays checks for silent peers until the input that has already arrived from them is read. */
    public ReadBarrier reads() {
        return reads;
    }

    /** The memory budget that all streamed bodies share. */
    public BodyBudget budget() {
        return budget;
    }

    /** Whether a request with this id is open; ids of requests are unique. */
    public boolean knows(String id) {
        return table.get(id) != null;
    }

    /** Whether a request with this id has ended and may have had an effect that a repetition would double. */
    public boolean mayHaveRun(String id) {
        return table.mayHaveRun(id);
    }

    /** Accepts a client's request, which must get one response from now on. */
    public void accept(Exchange exchange) {
        exchanges.accept(exchange);
    }

    /** Ends an exchange whose client has closed its connection before the response. */
    public void clientDisconnected(Exchange exchange) {
        completion.clientDisconnected(exchange);
    }

    /** Ends an exchange whose client will not complete a partly forwarded body. */
    public void requestBodyAborted(Exchange exchange) {
        exchanges.requestBodyAborted(exchange);
    }

    /** Restarts the deadline of a streamed request; see {@link ExchangeDeadlines#requestArrived}. */
    public void requestArrived(Exchange exchange, long arrivedMicros) {
        deadlines.requestArrived(exchange, arrivedMicros);
    }

    /** Ends an exchange that is still open because handling it threw an exception. */
    public void handlingFailed(Exchange exchange) {
        completion.endUnanswered(exchange, RejectionReason.INTERNAL_FAULT);
    }

    /** Counts a request that was rejected without an exchange of its own. */
    public void countRejected(int classIndex) {
        metrics.ended(classIndex, RequestMetrics.End.REJECTED);
    }

    /** The Retry-After of a rejection that the policy does not decide on; 0 if none is allowed. */
    public long defaultRetryAfterMicros() {
        return completion.retryAfterMicros(0);
    }

    // ---- Graceful shutdown ---------------------------------------------------------------------------

    /** The longest time that clients wait for a response, limited to the time that the platform allows a shutdown. */
    public long longestDeadlineMicros() {
        long longest = settings.classes().stream()
                .mapToLong(LoadBalancingPolicy.RequestClass::clientTimeoutMicros)
                .max()
                .orElse(0);
        return Math.min(MAX_DEADLINE_MICROS, longest);
    }

    /** Sets the time by which the last response must be sent, and the time from which requests are rejected. */
    public void limitTimes(long lastResponseMicros, long lastRequestMicros) {
        deadlines.limitTimes(lastResponseMicros, lastRequestMicros);
    }

    /** Ends all open exchanges just before the process is killed. */
    public void endAll() {
        exchanges.endAll();
    }

    /** Whether no exchange is open. */
    public boolean idle() {
        return table.isEmpty();
    }

    /** Logs how much memory streamed bodies have used, if streaming is enabled. */
    public void reportBodies() {
        if (bodies.streaming()) {
            log.line("bodies: peak of " + budget.peakBytes() + " of "
                    + (bodies.maxBufferedBytes() + bodies.maxReadAheadBytes())
                    + " bytes buffered for one direction of a transfer; " + budget.rejectedRequests()
                    + " rejected because the buffer budget was used up");
        }
    }

    // ---- For operators and other features ------------------------------------------------------------

    /** Cordons an upstream; false if the id is unknown or the cordon cannot be stored. */
    public boolean cordon(String id) {
        return cordons.cordon(id);
    }

    /** Uncordons an upstream; false if the id is unknown or the change cannot be stored. */
    public boolean uncordon(String id) {
        return cordons.uncordon(id);
    }

    /** Metrics as text; {@code inFlight} is the number of requests that were accepted and are not answered yet. */
    public String metrics(int inFlight) {
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
