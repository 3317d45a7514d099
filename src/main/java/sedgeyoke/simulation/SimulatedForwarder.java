package sedgeyoke.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sedgeyoke.lease.LeaseClock;
import sedgeyoke.model.UpstreamModel;
import sedgeyoke.plan.Follower;
import sedgeyoke.plan.ForwarderReport;
import sedgeyoke.plan.PlanMessage;
import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.policy.LoadBalancingPolicy.AttemptEnd;
import sedgeyoke.policy.LoadBalancingPolicy.ListKind;
import sedgeyoke.policy.LoadBalancingPolicy.LoadReport;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.policy.LoadBalancingPolicy.Request;
import sedgeyoke.policy.LoadBalancingPolicy.State;
import sedgeyoke.policy.SerializedEvents;

/**
 * One balancer: the real module, and around it what the program's sockets would do. It hands over events in order and
 * never from within an action, gives each call one answer, ends what has no time left, and connects where no connection
 * is idle.
 */
final class SimulatedForwarder implements LoadBalancingPolicy.Actions {
    /** As the program has them: the way in is taken off the budget, and the last moment lies so much before its end. */
    private static final long WAY_IN = 2_000;

    private static final long BACKSTOP = 6_000;
    private static final long RETRY_AFTER = 1_000_000;
    /** After SIGTERM the program listens on for so long. */
    private static final long LISTENS_ON = 550_000;

    private final SimulationContext world;
    private final SimulatedUpstreams fleet;
    private final Spec spec;
    private final LoadBalancingPolicy.Settings settings;
    private final BaselinePolicies.Maker maker;
    private final SimulatedUpstreams.Agent agent;
    private final long skew;
    private final double drift;
    private LoadBalancingPolicy module;
    private Follower follower;
    private final Map<String, Call> calls = new HashMap<>();
    private final Map<String, SimulatedUpstreams.Entry> targets = new HashMap<>();
    private final Map<Integer, Deque<Idle>> idle = new HashMap<>();
    private SerializedEvents events = new SerializedEvents();
    private boolean alive;
    private int process;
    private long pausedUntil;
    private long lastTold;
    private final List<SimulatedPlanner> planners;
    private final Map<SimulatedPlanner, Long> connectedAt = new HashMap<>();
    /** A planned restart has begun: nothing new is taken once the front has noticed. */
    private boolean leaving;

    private int taken;
    private long busyUntil;
    long attempts;
    long handshakes;
    long crossings;

    /** A connection to a node's process on which nothing is open, since when. */
    private record Idle(SimulatedUpstream machine, int machineProcess, long since) {
        boolean open() {
            return machine.process == machineProcess;
        }
    }

    /** Who a balancer is. */
    record Spec(String name, int zone, int position, long seed) {}

    /** A client's request and where its answer goes. */
    static final class Call {
        final Request request;
        final String idempotencyKey;
        final SimulatedClients.Try back;
        final List<Attempt> attempts = new ArrayList<>(1);
        long deadline;
        boolean answered;

        Call(Request request, String idempotencyKey, SimulatedClients.Try back) {
            this.request = request;
            this.idempotencyKey = idempotencyKey;
            this.back = back;
        }

        boolean done() {
            return answered && attempts.stream().allMatch(a -> a.ended);
        }
    }

    /** One attempt of a call at a node. */
    final class Attempt {
        private final Call call;
        private final int number;
        private final String upstream;
        private final int address;
        private final long startedAt;
        private final int mine = process;
        private SimulatedUpstream machine;
        private int machineProcess;
        private boolean connected;
        private boolean written;
        private boolean ended;

        Attempt(Call call, int number, String upstream, int address) {
            this.call = call;
            this.number = number;
            this.upstream = upstream;
            this.address = address;
            this.startedAt = world.time.now();
        }

        /** The connection ends under it; the news travels. */
        void broken() {
            if (!ended) {
                world.time.after(
                        world.delay(machine.zone, spec.zone),
                        () -> end(this, written ? Outcome.RESET : Outcome.CONNECT_FAILED, null));
            }
        }
    }

    SimulatedForwarder(
            SimulationContext world,
            SimulatedUpstreams fleet,
            Spec spec,
            LoadBalancingPolicy.Settings settings,
            BaselinePolicies.Maker maker,
            List<SimulatedPlanner> planners) {
        this.world = world;
        this.fleet = fleet;
        this.spec = spec;
        this.settings = settings;
        this.maker = maker;
        this.planners = planners;
        Scenario.Network n = world.scenario.network();
        this.skew =
                n.clockSkewMs() == 0 ? 0 : world.random.nextLong(-n.clockSkewMs() * 1_000, n.clockSkewMs() * 1_000 + 1);
        this.drift = n.clockDriftPpm() * 1e-6 * (2 * world.random.nextDouble() - 1);
        this.agent = fleet.agent(this);
    }

    String name() {
        return spec.name();
    }

    int zone() {
        return spec.zone();
    }

    boolean alive() {
        return alive;
    }

    /** Requests that are owed an answer. */
    long owed() {
        return calls.values().stream().filter(c -> !c.answered).count();
    }

    /** Its own clock. */
    private long now() {
        return world.time.now() + skew + (long) (drift * (world.time.now() - SimulationContext.START));
    }

    // ---- Its life ------------------------------------------------------------------------------------

    void start() {
        alive = true;
        leaving = false;
        taken = 0;
        busyUntil = 0;
        process++;
        module = maker.make(settings, spec.seed() + 7919L * process, this, fleet);
        int mine = process;
        deliver(() -> module.start(now()));
        agent.whole();
        Scenario.PlannerSpec p = world.scenario.planners();
        if (!planners.isEmpty()) {
            double leastGrant = 1.2e6 / Math.max(1, settings.rules().overloadWindow());
            follower = new Follower(
                    new Follower.Identity(
                            spec.name(),
                            spec.seed() * 31 + process,
                            spec.zone(),
                            p.leaseMs() * 1_000,
                            p.fadeMs() * 1_000,
                            leastGrant),
                    new LeaseClock(p.driftPpm()),
                    now());
            deliver(() -> module.planUpdated(now(), follower.currentPlan(now())));
            planners.forEach(host -> connectedAt.put(host, world.time.now() + world.random.nextLong(200_000)));
            scheduleReport(mine);
        }
    }

    /** SIGKILL: what it held is lost, and its clients see their connections end. */
    void kill() {
        idle.keySet().forEach(this::closeIdle);
        alive = false;
        process++;
        world.ledger.died(name());
        calls.values().forEach(c -> {
            c.attempts.forEach(a -> {
                drop(a);
                a.ended = true;
            });
            if (!c.answered) {
                c.back.connectionEnded();
            }
        });
        calls.clear();
        events = new SerializedEvents();
        idle.clear();
        targets.clear();
    }

    /** SIGTERM: after a moment clients go elsewhere, and it ends once nothing is open, or when its time is up. */
    void leave(long atMost, Runnable ended) {
        if (!alive || leaving) {
            return;
        }
        leaving = true;
        int mine = process;
        long until = world.time.now() + atMost;
        world.time.after(LISTENS_ON, () -> endWhenIdle(mine, until, ended));
    }

    private void endWhenIdle(int mine, long until, Runnable ended) {
        if (mine != process || !alive) {
            return;
        }
        if (calls.isEmpty() || world.time.now() >= until) {
            kill();
            ended.run();
        } else {
            world.time.after(LISTENS_ON / 10, () -> endWhenIdle(mine, until, ended));
        }
    }

    /** Whether the front still deals requests to it. */
    boolean takes() {
        return alive && !leaving;
    }

    void revive() {
        world.ledger.back(name());
        start();
    }

    void pause(long until) {
        pausedUntil = until;
    }

    // ---- Events for the module -----------------------------------------------------------------------

    /** What happens to this process, if it still runs by then; while it is paused, all waits in order. */
    private void inTurn(int mine, Runnable what) {
        if (mine != process || !alive) {
            return;
        }
        if (world.time.now() < pausedUntil) {
            world.time.after(pausedUntil - world.time.now(), () -> inTurn(mine, what));
            return;
        }
        what.run();
    }

    private void deliver(Runnable event) {
        events.handle(event);
    }

    void listed(ListKind kind, List<SimulatedUpstreams.Entry> entries) {
        inTurn(process, () -> {
            if (kind == ListKind.COMPLETE) {
                targets.clear();
            }
            for (SimulatedUpstreams.Entry e : entries) {
                SimulatedUpstreams.Entry before = e.upstream().state() == State.REMOVED
                        ? targets.remove(e.upstream().id())
                        : targets.put(e.upstream().id(), e);
                if (before != null
                        && (before.address() != e.address()
                                || before.upstream().launchedAt()
                                        != e.upstream().launchedAt())) {
                    closeIdle(before.address());
                }
            }
            deliver(() -> module.endpointsUpdated(
                    now(),
                    kind,
                    entries.stream().map(SimulatedUpstreams.Entry::upstream).toList()));
        });
    }

    /** A request has come in; the front found us alive. */
    void accept(Call call) {
        int mine = process;
        int before = taken++;
        long young = world.scenario.network().youngUs()
                * Math.max(0, Scenario.Network.YOUNG_REQUESTS - before)
                / Scenario.Network.YOUNG_REQUESTS;
        if (young == 0) {
            taken(mine, call, 0);
            return;
        }
        long now = world.time.now();
        busyUntil = Math.max(now, busyUntil) + young;
        world.time.after(busyUntil - now, () -> taken(mine, call, world.time.now() - now));
    }

    private void taken(int mine, Call call, long late) {
        if (mine != process) {
            call.back.connectionEnded(); // it was killed with this in its hands
            return;
        }
        inTurn(mine, () -> {
            long left = call.request.timeLeft() - WAY_IN - late;
            call.deadline = world.time.now() + left;
            calls.put(call.request.id(), call);
            world.time.after(left - BACKSTOP, () -> inTurn(mine, () -> expire(call)));
            Request r = call.request;
            deliver(() -> module.requestArrived(
                    now(),
                    new Request(
                            r.id(),
                            r.classIndex(),
                            r.tenant(),
                            r.affinityKey(),
                            r.expectedWork(),
                            left,
                            r.write(),
                            r.retry())));
        });
    }

    private void expire(Call call) {
        for (Attempt a : List.copyOf(call.attempts)) {
            if (!a.ended) {
                drop(a);
                ended(a, a.written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED, null);
            }
        }
        if (!call.answered) {
            boolean mayHaveRun = call.attempts.stream().anyMatch(a -> a.written);
            answer(call, mayHaveRun ? SimulatedClients.Answer.FAILED : SimulatedClients.Answer.REFUSED, 0);
            deliver(() -> module.clientDisconnected(now(), call.request.id()));
        }
        forgetIfDone(call);
    }

    /** An attempt that nobody waits for any more: its connection is closed, whatever still runs at the node. */
    private static void drop(Attempt a) {
        if (a.machine != null) {
            a.machine.open.remove(a);
            disconnected(a);
        }
    }

    private static void disconnected(Attempt a) {
        if (a.connected && a.machineProcess == a.machine.process) {
            a.machine.connections--;
        }
        a.connected = false;
    }

    private void closeIdle(int address) {
        Deque<Idle> closed = idle.getOrDefault(address, new ArrayDeque<>());
        closed.forEach(SimulatedForwarder::closed);
        closed.clear();
    }

    private static void closed(Idle c) {
        c.machine().connections -= c.open() ? 1 : 0;
    }

    /** Takes the connection used last; what has been idle for too long, or led to a process that is gone, goes. */
    private boolean reuse(int address) {
        Deque<Idle> waiting = idle.get(address);
        while (waiting != null
                && !waiting.isEmpty()
                && world.time.now() - waiting.peekFirst().since()
                        > settings.limits().idleTimeout()) {
            closed(waiting.pollFirst());
        }
        while (waiting != null && !waiting.isEmpty()) {
            if (waiting.pollLast().open()) {
                return true;
            }
        }
        return false;
    }

    private void answer(Call call, SimulatedClients.Answer how, long retryAfter) {
        if (!call.answered) {
            call.answered = true;
            world.time.after(world.delay(spec.zone, call.back.zone()), () -> call.back.answered(how, retryAfter));
        }
    }

    private void forgetIfDone(Call call) {
        if (call.done()) {
            calls.remove(call.request.id(), call);
        }
    }

    /** News of an attempt has come to this process. */
    private void end(Attempt a, Outcome outcome, UpstreamModel.Answer answer) {
        inTurn(a.mine, () -> ended(a, outcome, answer));
    }

    private void ended(Attempt a, Outcome outcome, UpstreamModel.Answer answer) {
        if (a.ended) {
            return;
        }
        a.ended = true;
        Call call = a.call;
        if (outcome == Outcome.OK) {
            answer(call, SimulatedClients.Answer.SERVED, 0);
        }
        if (answer != null && a.connected && a.machineProcess == a.machine.process) {
            idle.computeIfAbsent(a.address, x -> new ArrayDeque<>())
                    .add(new Idle(a.machine, a.machineProcess, world.time.now()));
            a.connected = false;
        } else if (a.machine != null) {
            disconnected(a);
        }
        LoadReport load = answer == null
                ? null
                : new LoadReport(
                        answer.utilisation(),
                        Double.NaN,
                        answer.waiting(),
                        answer.serviceMs() * 1_000,
                        Double.NaN,
                        Double.NaN);
        AttemptEnd end = new AttemptEnd(
                call.request.id(), a.number, a.upstream, outcome, world.time.now() - a.startedAt, call.answered, load);
        deliver(() -> module.attemptEnded(now(), end));
        forgetIfDone(call);
    }

    // ---- Actions of the module -----------------------------------------------------------------------

    @Override
    public void send(String request, String upstream, long timeout) {
        Call call = calls.get(request);
        if (call == null) {
            return;
        }
        SimulatedUpstreams.Entry target = targets.get(upstream);
        Attempt a = new Attempt(call, call.attempts.size(), upstream, target == null ? -1 : target.address());
        call.attempts.add(a);
        if (call.answered || target == null || world.time.now() >= call.deadline) {
            ended(a, Outcome.NOT_SENT, null);
            return;
        }
        attempts++;
        SimulatedUpstream m = fleet.at(target.address());
        int zone = target.upstream().zone();
        crossings += zone == spec.zone ? 0 : 1;
        if (reuse(target.address())) {
            write(a, m);
            return;
        }
        handshakes++;
        int most = world.scenario.network().connections();
        if (m == null || most > 0 && m.connections >= most) {
            world.time.after(2 * world.delay(spec.zone, zone), () -> end(a, Outcome.CONNECT_FAILED, null));
        } else if (m.model.silent() || world.severed(spec.zone, zone)) {
            world.time.after(settings.limits().connectTimeout(), () -> end(a, Outcome.CONNECT_FAILED, null));
        } else {
            world.time.after(
                    2 * world.delay(spec.zone, zone),
                    () -> inTurn(a.mine, () -> {
                        if (!a.ended) {
                            SimulatedUpstream there = fleet.at(a.address);
                            if (there != null) {
                                there.connections++;
                            }
                            write(a, there);
                        }
                    }));
        }
    }

    /** The request goes out on a connection; it may break on the way. */
    private void write(Attempt a, SimulatedUpstream m) {
        if (m == null) { // what the connection led to has gone meanwhile
            world.time.after(world.delay(spec.zone, spec.zone), () -> end(a, Outcome.RESET, null));
            a.written = true;
            return;
        }
        a.machine = m;
        a.machineProcess = m.process;
        a.written = true;
        a.connected = true;
        m.open.add(a);
        if (world.severed(spec.zone, m.zone)) {
            return; // it gets nowhere, and nothing says so
        }
        world.time.after(world.delay(spec.zone, m.zone), () -> arrive(a, m));
    }

    private void arrive(Attempt a, SimulatedUpstream m) {
        if (a.machineProcess != m.process) {
            return; // the end of its connection is on its way already
        }
        Request r = a.call.request;
        m.arrived++;
        m.model.take(r.id(), r.affinityKey(), a.call.idempotencyKey, answer -> {
            if (world.severed(m.zone, spec.zone)
                    || world.lostAnswers > 0 && world.random.nextDouble() < world.lostAnswers) {
                return;
            }
            m.open.remove(a);
            if (world.resetConnections > 0 && world.random.nextDouble() < world.resetConnections) {
                a.broken();
                return;
            }
            Outcome outcome =
                    switch (answer.kind()) {
                        case DONE -> Outcome.OK;
                        case FULL -> Outcome.REJECTED;
                        default -> Outcome.ERROR;
                    };
            world.time.after(world.delay(m.zone, spec.zone), () -> end(a, outcome, answer));
        });
    }

    @Override
    public void reject(String request, long retryAfter) {
        finish(
                request,
                SimulatedClients.Answer.REFUSED,
                settings.limits().retryAfter()
                        ? Math.min(
                                retryAfter > 0 ? retryAfter : RETRY_AFTER,
                                settings.limits().maxRetryAfter())
                        : 0);
    }

    @Override
    public void fail(String request) {
        finish(request, SimulatedClients.Answer.FAILED, 0);
    }

    private void finish(String request, SimulatedClients.Answer how, long retryAfter) {
        Call call = calls.get(request);
        if (call != null) {
            answer(call, how, retryAfter);
            forgetIfDone(call);
        }
    }

    @Override
    public void cancel(String request, int attempt) {
        Call call = calls.get(request);
        Attempt a = call == null ? null : call.attempts.get(attempt);
        if (a != null && !a.ended) {
            drop(a);
            ended(a, Outcome.CANCELLED, null);
        }
    }

    @Override
    public void setTimer(String token, long delay) {
        int mine = process;
        world.time.after(delay, () -> inTurn(mine, () -> deliver(() -> module.timerFired(now(), token))));
    }

    /** A probe is an answer with nothing but its report; it goes round the node's queue. */
    @Override
    public void healthCheck(String upstream) {
        SimulatedUpstreams.Entry target = targets.get(upstream);
        SimulatedUpstream m = target == null ? null : fleet.at(target.address());
        int mine = process;
        long there = world.delay(
                spec.zone, target == null ? spec.zone : target.upstream().zone());
        world.time.after(there, () -> {
            boolean answers = m != null && !m.model.silent();
            LoadReport load = !answers
                    ? null
                    : new LoadReport(
                            m.model.utilisation(),
                            m.model.inFlight(),
                            Double.NaN,
                            m.model.serviceMs() * 1_000,
                            Double.NaN,
                            Double.NaN);
            world.time.after(
                    there,
                    () -> inTurn(
                            mine,
                            () -> deliver(() -> module.healthCheckCompleted(
                                    now(), upstream, answers ? Outcome.OK : Outcome.TIMEOUT, load))));
        });
    }

    @Override
    public void closeIdle(String upstream) {
        SimulatedUpstreams.Entry target = targets.get(upstream);
        if (target != null) {
            closeIdle(target.address());
        }
    }

    @Override
    public void watchEndpoints(boolean on) {
        // Changes are pushed.
    }

    @Override
    public void fetchEndpoints() {
        agent.whole();
    }

    @Override
    public void sendToPeer(int peer, byte[] body) {
        throw new UnsupportedOperationException("balancers do not talk to each other here");
    }

    @Override
    public void log(String text) {
        // Nobody reads it.
    }

    // ---- Planners ------------------------------------------------------------------------------------

    private void scheduleReport(int mine) {
        long every = world.scenario.planners().reportMs() * 1_000;
        long delay = every - every / 8 + world.random.nextLong(Math.max(1, every / 4));
        world.time.after(
                delay,
                () -> inTurn(mine, () -> {
                    deliver(this::report);
                    scheduleReport(mine);
                }));
    }

    /** What is lent with a report is known to the module before the report can reach anyone. */
    private void report() {
        long now = now();
        LoadBalancingPolicy.Summary summary = null;
        Map<SimulatedPlanner, ForwarderReport> reports = new HashMap<>();
        List<SimulatedPlanner> to = new ArrayList<>();
        for (SimulatedPlanner p : planners) {
            if (connected(p) && follower.isReportDue(now, p.name())) {
                summary = summary == null ? module.summary(now) : summary;
                reports.put(p, follower.createReport(now, p.name(), summary));
                to.add(p);
            }
        }
        module.planUpdated(now, follower.currentPlan(now));
        to.forEach(p -> p.hear(this, reports.get(p)));
    }

    /** A planner that was away is found again after a random pause: all at once would be a herd. */
    private boolean connected(SimulatedPlanner p) {
        if (!p.alive()) {
            connectedAt.put(p, Long.MAX_VALUE);
            return false;
        }
        if (connectedAt.get(p) == Long.MAX_VALUE) {
            connectedAt.put(p, world.time.now() + 200_000 + world.random.nextLong(2_000_000));
        }
        return world.time.now() >= connectedAt.get(p);
    }

    /** Messages of one planner keep their order, as on one connection. */
    void hear(PlanMessage plan, long delay) {
        long at = Math.max(lastTold, world.time.now() + delay);
        lastTold = at;
        int mine = process;
        world.time.after(
                at - world.time.now(),
                () -> inTurn(mine, () -> {
                    if (follower.handlePlan(now(), plan) && follower.affectsCurrentPlan(now(), plan)) {
                        deliver(() -> module.planUpdated(now(), follower.currentPlan(now())));
                    }
                }));
    }
}
