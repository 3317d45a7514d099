package sedgeyoke.proxy;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import sedgeyoke.body.BodyBudget;
import sedgeyoke.body.BodyLimits;
import sedgeyoke.body.PartialRequestPolicy;
import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.policy.SerializedEvents;
import sedgeyoke.policy.UtilizationWeightedPolicy;

/**
 * Carries out what the module decides. It owns the clock and the table of open calls, hands the module its
 * events one after another, and sees to it that each call gets one answer even where the module fails to.
 */
final class ProxyCore implements LoadBalancingPolicy.Actions, ModulePort, UpstreamConnectionPool.Listener {
    /** How soon what one process of a balancer was told by hand reaches the other one. */
    private static final long LOOK_AT_CORDONS_MS = 100;
    /** The last moment for an answer, before the client's time is over: the way back takes time too. */
    private static final long BACKSTOP = 6_000;
    /** What a request took to get here: its budget counts from the client's sending. */
    private static final long WAY_IN = 2_000;
    /** How long the first list is waited for before clients are let in with the one from the configuration. */
    private static final long WAIT_FOR_LIST = 1_500_000;
    /** SIGKILL waits for no longer deadline than that (PROTOCOL, "Figures"). */
    private static final long LONGEST_DEADLINE = 3_000_000;
    /** What a refusal advises where advice is allowed and the module has none. */
    private static final long RETRY_AFTER = 1_000_000;
    /** Share of the sockets for connections to upstreams; clients have one each, too. */
    private static final double UPSTREAM_SHARE = 0.35;

    private final BodyLimits bodies;
    private final BodyBudget budget;
    private final EventLoop loop;
    private final BalancerConfig config;
    private final LoadBalancingPolicy.Settings settings;
    private final RateLimitedLog log;
    private final UpstreamConnectionPool pool;
    private final DiscoveryClient discovery;
    private final LoadBalancingPolicy module;
    private final Map<String, Exchange> calls = new HashMap<>();
    private final SerializedEvents events = new SerializedEvents();
    private final RequestMetrics figures;
    private final CordonStore cordons;
    /** What the tier has agreed is out, and since when we know. */
    private Map<String, Long> agreedOut = Map.of();

    private final long startedAt = System.currentTimeMillis() * 1_000;
    private final long startedNanos = System.nanoTime();
    /** When the timer that the module set last is due; it always has one. */
    private long timerDue = Long.MAX_VALUE;
    /** How late the last timer was. */
    private long lateness;
    /** When the last answer must be out, once the end is near. */
    private long lastMoment = Long.MAX_VALUE;
    /** From then on requests are refused at once: there is no time left to try them. */
    private long lastRequest = Long.MAX_VALUE;

    ProxyCore(EventLoop loop, BalancerConfig config, Transport transport, BodyLimits bodies) {
        this(
                loop,
                config,
                transport,
                bodies,
                actions -> new UtilizationWeightedPolicy(config.facts().settings(), config.seed(), actions));
    }

    /** For tests, which bring a module of their own. */
    ProxyCore(
            EventLoop loop,
            BalancerConfig config,
            Transport transport,
            BodyLimits bodies,
            Function<LoadBalancingPolicy.Actions, LoadBalancingPolicy> module) {
        this.bodies = bodies;
        this.budget = new BodyBudget(bodies);
        this.loop = loop;
        this.config = config;
        this.settings = config.facts().settings();
        this.log = new RateLimitedLog(transport.log(), this::now);
        this.pool = new UpstreamConnectionPool(
                loop,
                transport,
                this::now,
                config.facts(),
                (int) (UPSTREAM_SHARE * config.sockets()),
                bodies,
                budget,
                this,
                log);
        this.discovery = new DiscoveryClient(loop, config, transport, this::listed, log);
        this.module = module.apply(this);
        this.figures = new RequestMetrics(config.facts().classNames());
        this.cordons = new CordonStore(
                config.ops() == null || config.folder() == null
                        ? null
                        : config.folder()
                                .resolve("sedgeyoke-cordons-" + config.name().replaceAll("[^A-Za-z0-9_-]", "_")));
    }

    /** The module's clock: the wall clock of the start, carried on by the monotonic one. */
    @Override
    public long now() {
        return startedAt + (System.nanoTime() - startedNanos) / 1_000;
    }

    RateLimitedLog log() {
        return log;
    }

    /** What long bodies hold. */
    BodyBudget budget() {
        return budget;
    }

    /** Starts with the list as last known, until discovery answers. */
    void start() {
        deliver(null, () -> module.start(now()));
        pool.update(config.known());
        deliver(
                null,
                () -> module.endpointsUpdated(
                        now(),
                        LoadBalancingPolicy.ListKind.RESTORED,
                        config.known().upstreams()));
        if (!settings.subscribesToEndpoints()) {
            discovery.watch(true);
        }
        if (config.ops() != null) {
            lookAtCordons(); // before the first client
            loop.scheduleWithFixedDelay(
                    this::lookAtCordons, LOOK_AT_CORDONS_MS, LOOK_AT_CORDONS_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void lookAtCordons() {
        try {
            if (cordons.refresh()) {
                cordoned();
            }
        } catch (IOException e) {
            log.line("cordons: what was known stays in force: " + e.getMessage());
        }
    }

    private void cordoned() {
        Map<String, Long> out = new TreeMap<>(cordons.out());
        agreedOut.forEach(out::putIfAbsent);
        log.line("cordons: " + (out.isEmpty() ? "none" : String.join(" ", out.keySet())));
        pool.cordons(out.keySet());
        deliver(null, () -> module.cordonsUpdated(now(), out));
    }

    @Override
    public void agreedOut(Set<String> upstreams) {
        Map<String, Long> next = new TreeMap<>();
        upstreams.forEach(id -> next.put(id, agreedOut.getOrDefault(id, now())));
        if (!next.equals(agreedOut)) {
            agreedOut = next;
            cordoned();
        }
    }

    /** Takes an upstream out of service by hand or gives it back; false for an id that nobody has. */
    boolean cordon(String id, boolean out) {
        if (!pool.knows(id) && !cordons.out().containsKey(id)) {
            return false;
        }
        Map<String, Long> before = cordons.out();
        try {
            boolean done = cordons.set(id, out, now());
            if (!before.equals(cordons.out())) {
                cordoned();
            }
            return done;
        } catch (IOException e) { // a yes that an upgrade forgets would be none
            log.line("cordons: " + e);
            return false;
        }
    }

    /** Figures for operators; {@code inFlight} requests are taken and not yet ended. */
    String figures(int inFlight) {
        List<LoadBalancingPolicy.UpstreamStatus> standings =
                module.summary(now()).upstreams();
        int excluded = (int) standings.stream()
                .filter(s -> s.ejected() || s.state() != LoadBalancingPolicy.State.READY)
                .count();
        return figures.text(inFlight, standings.size(), excluded);
    }

    /** Counts a request that was refused without a call of its own. */
    void refusedUnheard(int classIndex) {
        figures.ended(classIndex, RequestMetrics.End.REFUSED);
    }

    /** Takes over what may change while we run, from a configuration that was read anew. */
    void reload(BalancerConfig changed) {
        List<String> fixed = config.needRestart(changed);
        if (!fixed.isEmpty()) {
            log.line("reload: " + String.join(", ", fixed) + " stay as they are until a restart");
        }
        log.line("reload: discovery at " + changed.discovery());
        discovery.moveTo(changed.discovery());
    }

    /** Whether discovery has answered; if it stays silent, what was known before the start has to do. */
    boolean ready() {
        return discovery.listed() || !config.known().members().isEmpty() && now() - startedAt > WAIT_FOR_LIST;
    }

    /** The last word on long bodies, where they are on. */
    void reportBodies() {
        if (bodies.streaming()) {
            log.line("bodies: at most " + budget.largest() + " of " + bodies.ceiling()
                    + " bytes held for one in a direction, " + budget.refused() + " refused for want of room");
        }
    }

    /** The longest that clients wait for an answer, in microseconds, as far as the platform counts it. */
    long longestDeadline() {
        return Math.min(
                LONGEST_DEADLINE,
                settings.classes().stream()
                        .mapToLong(LoadBalancingPolicy.RequestClass::clientTimeout)
                        .max()
                        .orElse(0));
    }

    /** No answer is out later than that, whatever its client would grant, and no request is tried from then on. */
    void answerUntil(long last, long request) {
        lastMoment = last;
        lastRequest = request;
    }

    /**
     * Ends what is still open, transfers above all, just before we are killed: cut in order, an upload whose last byte
     * never went out is refused, and an answer that is not whole can be told from one that is.
     */
    void endAll() {
        List.copyOf(calls.values()).forEach(call -> {
            List.copyOf(call.attempts).forEach(a -> {
                if (!a.ended) {
                    pool.stop(
                            a,
                            a.written
                                    ? LoadBalancingPolicy.Outcome.CANCELLED
                                    : LoadBalancingPolicy.Outcome.CONNECT_FAILED);
                }
            });
            giveUp(call);
        });
    }

    boolean idle() {
        return calls.isEmpty();
    }

    // ---- Events for the module -----------------------------------------------------------------------

    /**
     * Hands over an event once the module is done with the one before: it must not be called from within its
     * own actions. If it throws while it handles a call, that call is answered here, as nobody else will.
     */
    private void deliver(Exchange call, Runnable event) {
        events.handle(() -> {
            try {
                event.run();
            } catch (RuntimeException e) {
                log.line("the decision module failed: " + e + " at " + e.getStackTrace()[0]);
                if (call != null) {
                    giveUp(call);
                }
            }
        });
    }

    @Override
    public void deliver(Runnable event) {
        deliver(null, event);
    }

    @Override
    public LoadBalancingPolicy module() {
        return module;
    }

    private void listed(EndpointList list) {
        if (list == null) {
            deliver(null, () -> module.endpointsUpdated(now(), LoadBalancingPolicy.ListKind.UNAVAILABLE, List.of()));
            return;
        }
        pool.update(list);
        LoadBalancingPolicy.ListKind kind =
                list.complete() ? LoadBalancingPolicy.ListKind.COMPLETE : LoadBalancingPolicy.ListKind.CHANGES;
        deliver(null, () -> module.endpointsUpdated(now(), kind, list.upstreams()));
    }

    /** Whether a request with this id is open: ids are new with every request. */
    boolean knows(String id) {
        return calls.containsKey(id);
    }

    /** A client's request; from here on it is owed one answer. */
    void accept(Exchange call) {
        if (calls.size() >= settings.limits().maxConcurrentRequests() || now() >= lastRequest) {
            refuse(call, 0);
            return;
        }
        String id = call.request.id();
        // The budget counts from the last byte; until that has come, the limits on uploads hold.
        long upload = call.body.ended() ? 0 : bodies.longestUpload();
        long left = Math.min(call.request.timeLeft() + upload - WAY_IN - late(), lastMoment - now());
        call.deadline = now() + left;
        calls.put(id, call);
        call.backstop = loop.schedule(() -> expire(call), left - BACKSTOP, TimeUnit.MICROSECONDS);
        LoadBalancingPolicy.Request r = call.request;
        deliver(
                call,
                () -> module.requestArrived(
                        now(),
                        new LoadBalancingPolicy.Request(
                                id,
                                r.classIndex(),
                                r.tenant(),
                                r.affinityKey(),
                                r.expectedWork(),
                                call.deadline - now(),
                                r.write(),
                                r.retry(),
                                call.body.streams())));
    }

    /** If a timer is overdue or just was, the loop is late, and what it reads may have waited as long to be read. */
    @Override
    public long late() {
        return Math.max(lateness, now() - timerDue);
    }

    /** The client has closed its connection before its answer. */
    void clientGone(Exchange call) {
        if (!call.answered) {
            call.answered = true;
            deliver(call, () -> module.clientDisconnected(now(), call.request.id()));
            forgetIfDone(call);
        }
    }

    /** The call's time is over: its attempts time out, and it is answered here if the module does not. */
    private void expire(Exchange call) {
        List.copyOf(call.attempts).forEach(this::timeOut);
        giveUp(call);
        List.copyOf(call.attempts).forEach(this::timeOut); // what was sent in reply to that would be out for ever
    }

    private void timeOut(Attempt a) {
        if (!a.ended && !a.begun) { // an answer that has begun has limits of its own
            pool.stop(a, a.written ? LoadBalancingPolicy.Outcome.TIMEOUT : LoadBalancingPolicy.Outcome.CONNECT_FAILED);
        }
    }

    /**
     * Guards against a call that the module, or a fault of ours, leaves without an answer: it is refused only if
     * it never ran.
     */
    void giveUp(Exchange call) {
        if (call.answered) {
            return;
        }
        log.line("answered without the module: " + call.request.id());
        if (call.attempts.stream().anyMatch(a -> a.mayHaveRun)) {
            fail(call);
        } else {
            refuse(call, 0);
        }
        deliver(null, () -> module.clientDisconnected(now(), call.request.id()));
        forgetIfDone(call);
    }

    /** The client will send no more of a body of which a part has gone on: it can never have run. */
    void cutShort(Exchange call) {
        if (!call.answered) {
            call.answered = true;
            figures.ended(call.request.classIndex(), RequestMetrics.End.FAILED);
            List.copyOf(call.attempts).forEach(a -> {
                if (!a.ended) {
                    pool.stop(
                            a,
                            a.written ? LoadBalancingPolicy.Outcome.CANCELLED : LoadBalancingPolicy.Outcome.NOT_SENT);
                }
            });
            deliver(call, () -> module.clientDisconnected(now(), call.request.id()));
            forgetIfDone(call);
        }
    }

    @Override
    public ResponseStream.Sink begun(Attempt a, ResponseStream.Head head, ResponseStream.Source source) {
        Exchange call = a.call;
        if (call.answered || a.ended) {
            return null;
        }
        call.answered = true;
        a.begun = true;
        bind(a);
        answering(a);
        return call.reply.begin(head, source);
    }

    @Override
    public void taken(Attempt a) {
        bind(a);
        transfers(a);
    }

    /** From here on the attempt is the call's last one, and neither its time-out nor the deadline ends it. */
    private void bind(Attempt a) {
        if (a.call.bound == null) {
            a.call.bound = a;
            deliver(a.call, () -> module.responseStarted(now(), a.call.request.id(), a.number));
        }
    }

    @Override
    public void answering(Attempt a) {
        if (a.answeringSince == 0) {
            a.answeringSince = now();
            transfers(a);
        }
    }

    private void transfers(Attempt a) {
        deliver(a.call, () -> module.transferStarted(now(), a.call.request.id(), a.number));
    }

    @Override
    public void written(Attempt a) {
        a.written = true;
        figures.attempted(a.call.request.classIndex());
    }

    @Override
    public void asked(Attempt a) {
        Exchange call = a.call;
        a.askedAt = now();
        if (!call.answered && call.backstop != null) {
            call.backstop.cancel(false);
            call.deadline = now() + Math.min(call.request.timeLeft() - WAY_IN, lastMoment - now());
            call.backstop = loop.schedule(() -> expire(call), call.deadline - now() - BACKSTOP, TimeUnit.MICROSECONDS);
        }
    }

    /** The end of an attempt, once for each; the first answer that is a success goes on to the client. */
    @Override
    public void ended(Attempt a, LoadBalancingPolicy.Outcome outcome, UpstreamResponse answer) {
        if (a.ended) {
            return;
        }
        a.ended = true;
        a.mayHaveRun = !outcome.neverRan;
        if (a.timeout != null) {
            a.timeout.cancel(false);
        }
        Exchange call = a.call;
        if (outcome == LoadBalancingPolicy.Outcome.OK && answer != null) {
            answer(call, RequestMetrics.End.SERVED, () -> call.reply.served(answer.contentType(), answer.body()));
        } else if (a.begun) {
            figures.ended(
                    call.request.classIndex(),
                    outcome == LoadBalancingPolicy.Outcome.OK ? RequestMetrics.End.SERVED : RequestMetrics.End.FAILED);
        }
        LoadBalancingPolicy.RequestClass cls = settings.classes().get(call.request.classIndex());
        PartialRequestPolicy.Next next =
                PartialRequestPolicy.after(cls.effect(), cls.scope(), call.body.state(a.written), outcome);
        if (next == PartialRequestPolicy.Next.REFUSE) {
            a.mayHaveRun = false;
            refuse(call, 0);
        } else if (next == PartialRequestPolicy.Next.FAIL) {
            fail(call);
        }
        // Our own lateness is none of the upstream's: the module would take it for a crowd there and send less.
        long until = a.answeringSince > 0 ? a.answeringSince : now();
        long took = Math.max(0, until - a.askedAt - late());
        LoadBalancingPolicy.AttemptEnd end = new LoadBalancingPolicy.AttemptEnd(
                call.request.id(),
                a.number,
                a.upstream,
                outcome,
                took,
                call.answered,
                answer == null ? null : answer.load());
        deliver(call, () -> module.attemptEnded(now(), end));
        forgetIfDone(call);
    }

    private void answer(Exchange call, RequestMetrics.End end, Runnable how) {
        if (!call.answered) {
            call.answered = true;
            figures.ended(call.request.classIndex(), end);
            how.run();
        }
    }

    private void refuse(Exchange call, long retryAfter) {
        answer(call, RequestMetrics.End.REFUSED, () -> call.reply.refused(advice(retryAfter)));
    }

    private void fail(Exchange call) {
        answer(call, RequestMetrics.End.FAILED, call.reply::failed);
    }

    private void forgetIfDone(Exchange call) {
        if (call.answered && call.attemptsEnded()) {
            if (call.backstop != null) {
                call.backstop.cancel(false);
            }
            calls.remove(call.request.id(), call);
            call.body.abort(); // what it still holds is for nobody
        }
    }

    // ---- Actions of the module -----------------------------------------------------------------------

    private void with(String request, Consumer<Exchange> action) {
        Exchange call = calls.get(request);
        if (call != null) {
            action.accept(call);
        }
    }

    @Override
    public void send(String request, String upstream, long timeout) {
        with(request, call -> {
            long now = now();
            long until = timeout > 0 ? Math.min(now + timeout, call.deadline) : call.deadline;
            Attempt a = new Attempt(call, call.attempts.size(), upstream, now, until, repeatUntil(call));
            call.attempts.add(a);
            if (call.answered || a.number >= settings.limits().maxAttempts() || until <= now) {
                ended(a, LoadBalancingPolicy.Outcome.NOT_SENT, null);
                return;
            }
            if (until < call.deadline) {
                a.timeout = loop.schedule(() -> timeOut(a), until - now, TimeUnit.MICROSECONDS);
            }
            pool.start(a);
        });
    }

    /**
     * Until when a further attempt may go out: upstreams drop a repeat of a keyed request only as long as they remember
     * the first one that may have run. The module looks at that when it chooses, but a connection may take its time.
     */
    private long repeatUntil(Exchange call) {
        LoadBalancingPolicy.RequestClass cls = settings.classes().get(call.request.classIndex());
        return cls.effect() != LoadBalancingPolicy.Effect.IDEMPOTENT_WITH_KEY
                ? Long.MAX_VALUE
                : call.attempts.stream()
                        .filter(a -> a.mayHaveRun)
                        .mapToLong(a -> a.startedAt + cls.deduplicationWindow())
                        .min()
                        .orElse(Long.MAX_VALUE);
    }

    @Override
    public void reject(String request, long retryAfter) {
        with(request, call -> {
            refuse(call, retryAfter);
            forgetIfDone(call);
        });
    }

    /** What a refusal tells the client about when to come back, in microseconds; 0 where that is not allowed. */
    long advice(long retryAfter) {
        return settings.limits().retryAfter()
                ? Math.min(
                        retryAfter > 0 ? retryAfter : RETRY_AFTER,
                        settings.limits().maxRetryAfter())
                : 0;
    }

    @Override
    public void fail(String request) {
        with(request, call -> {
            fail(call);
            forgetIfDone(call);
        });
    }

    @Override
    public void cancel(String request, int attempt) {
        with(request, call -> {
            Attempt a = call.attempts.get(attempt);
            if (!a.ended) {
                pool.stop(a, LoadBalancingPolicy.Outcome.CANCELLED);
            }
        });
    }

    @Override
    public void setTimer(String token, long delay) {
        long due = now() + delay;
        timerDue = due;
        loop.schedule(
                () -> {
                    lateness = Math.max(0, now() - due);
                    deliver(null, () -> module.timerFired(now(), token));
                },
                delay,
                TimeUnit.MICROSECONDS);
    }

    @Override
    public void closeIdle(String upstream) {
        pool.closeIdle(upstream);
    }

    @Override
    public void watchEndpoints(boolean on) {
        if (settings.subscribesToEndpoints()) {
            discovery.watch(on);
        }
    }

    @Override
    public void fetchEndpoints() {
        discovery.fetch();
    }

    @Override
    public void log(String text) {
        log.line(text);
    }

    @Override
    public void healthCheck(String upstream) {
        throw new UnsupportedOperationException("probes: the configuration is refused where they are allowed");
    }

    @Override
    public void sendToPeer(int peer, byte[] body) {
        throw new UnsupportedOperationException("peers: the configuration is refused where they are allowed");
    }
}
