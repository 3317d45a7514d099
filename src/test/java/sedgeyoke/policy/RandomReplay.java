package sedgeyoke.policy;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import sedgeyoke.policy.LoadBalancingPolicy.AttemptEnd;
import sedgeyoke.policy.LoadBalancingPolicy.Cordons;
import sedgeyoke.policy.LoadBalancingPolicy.ListKind;
import sedgeyoke.policy.LoadBalancingPolicy.LoadReport;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.policy.LoadBalancingPolicy.Plan;
import sedgeyoke.policy.LoadBalancingPolicy.Reports;
import sedgeyoke.policy.LoadBalancingPolicy.Request;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;
import sedgeyoke.policy.LoadBalancingPolicy.SlowStartGrant;
import sedgeyoke.policy.LoadBalancingPolicy.SlowStartQuota;
import sedgeyoke.policy.LoadBalancingPolicy.State;
import sedgeyoke.policy.LoadBalancingPolicy.Summary;
import sedgeyoke.policy.LoadBalancingPolicy.Timer;
import sedgeyoke.policy.LoadBalancingPolicy.Upstream;
import sedgeyoke.policy.LoadBalancingPolicy.UpstreamStatus;
import sedgeyoke.policy.LoadBalancingPolicy.UpstreamView;
import sedgeyoke.policy.ReplayJournal.Kind;

/**
 * One run: a host that simulates clients, upstreams, discovery, planners and operators at random. It is one
 * file, as all events and answers draw from one sequence of random numbers.
 */
final class RandomReplay implements LoadBalancingPolicy.Actions {
    /** One attempt that the policy sent, as the host answers it. */
    private static final class Attempt {
        final String request;
        final int number;
        final String upstream;
        final long sentAt;
        boolean ended;

        Attempt(String request, int number, String upstream, long sentAt) {
            this.request = request;
            this.number = number;
            this.upstream = upstream;
            this.sentAt = sentAt;
        }
    }

    /** One upstream as the host simulates it: its fault and its slowness. */
    private static final class SimulatedUpstream {
        long launchedAtMicros;
        int fault;
        int inFlight;
        final double slowness;

        SimulatedUpstream(double slowness) {
            this.slowness = slowness;
        }
    }

    /** A task that is due at a time; tasks of one time run in the order of their numbers. */
    private record Due(long at, long number, Runnable task) {}

    private static final int STEPS = 1_000;
    private static final long MILLI = 1_000;
    private static final long SECOND = 1_000_000;
    private static final int KNOWN_UPSTREAMS = 20;
    private static final int REFUSES_CONNECTIONS = 3;
    /** Traffic so thin that the sample of upstreams is the least one; it plays fewer steps, as each is long. */
    private static final long SPARSE_PACE = 400;

    private static final double[] IMPLAUSIBLE_NUMBERS = {
        Double.NaN, -1, 1e300, 0, Double.POSITIVE_INFINITY, -0.3, 1.5, 3
    };

    private final SplittableRandom random;
    private final ReplayJournal journal;
    private final Settings settings;
    private final LoadBalancingPolicy balancer;
    private final PriorityQueue<Due> tasks =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.number, b.number));
    private final Map<String, List<Attempt>> attempts = new HashMap<>();
    private final List<Attempt> outstanding = new ArrayList<>();
    private final List<String> tokens = new ArrayList<>();
    private final List<SimulatedUpstream> simulated = new ArrayList<>();
    /** The number of a failed call to discovery among the kinds of lists. */
    private static final int DISCOVERY_FAILED = 3;

    private final TreeMap<String, Long> cordoned = new TreeMap<>();
    private final int upstreams;
    private final boolean planners;
    private final double undisturbedShare;
    private final long pace;
    private final long work;
    private long now = 100 * SECOND;
    private long taskCount;
    private int requests;

    RandomReplay(int seed, ReplayJournal journal) {
        this.random = new SplittableRandom(1_000 + seed);
        this.journal = journal;
        this.upstreams = 2 + random.nextInt(12);
        this.planners = random.nextInt(3) > 0;
        this.undisturbedShare = random.nextInt(3) > 0 ? 0.6 : 0;
        this.pace = oneOf(2, 8, 50, SPARSE_PACE) * MILLI;
        this.work = oneOf(5, 30, 120) * MILLI;
        for (int i = 0; i < KNOWN_UPSTREAMS; i++) {
            simulated.add(new SimulatedUpstream(0.5 + (chance(0.25) ? 6 : 1) * random.nextDouble()));
        }
        // For good, so that it is ejected again and again.
        simulated.get(0).fault = chance(0.5) ? REFUSES_CONNECTIONS : 0;
        this.settings = RandomSettings.draw(random, seed, upstreams);
        this.balancer = new UtilizationWeightedPolicy(settings, seed, this);
    }

    void run() {
        journal.note(Kind.START, now);
        balancer.start(now);
        updateEndpoints(ListKind.RESTORED, upstreams);
        int steps = pace == SPARSE_PACE * MILLI ? STEPS / 3 : STEPS;
        for (int step = 0; step < steps; step++) {
            advance(chance(0.01) ? random.nextLong(SECOND) : random.nextLong(2 * pace));
            step();
        }
        advance(5 * SECOND);
        summary();
    }

    private void advance(long by) {
        long until = now + by;
        while (!tasks.isEmpty() && tasks.peek().at <= until) {
            Due next = tasks.poll();
            now = Math.max(now, next.at);
            next.task.run();
        }
        now = until;
    }

    private void later(long delay, Runnable task) {
        tasks.add(new Due(now + Math.max(1, delay), taskCount++, task));
    }

    private void step() {
        int choice = random.nextInt(100);
        if (choice < 60) {
            request();
        } else if (choice < 78) {
            touchAttempt(choice % 6);
        } else if (choice < 82) {
            completeHealthCheck("u" + random.nextInt(KNOWN_UPSTREAMS));
        } else if (choice < 86) {
            summary();
        } else if (choice < 92) {
            plan();
        } else if (choice < 94) {
            simulated.get(1 + random.nextInt(KNOWN_UPSTREAMS - 1)).fault = chance(0.75) ? 0 : random.nextInt(6);
        } else if (!chance(undisturbedShare)) {
            disturb();
        } else {
            request();
        }
    }

    private void disturb() {
        int choice = random.nextInt(10);
        if (choice < 5) {
            updateEndpoints(ListKind.CHANGES, 1 + random.nextInt(3));
        } else if (choice < 6) {
            updateEndpoints(chance(0.5) ? ListKind.COMPLETE : ListKind.RESTORED, upstreams + random.nextInt(3));
        } else if (choice < 8) {
            failDiscovery();
        } else {
            cordons();
        }
    }

    // ---- Events --------------------------------------------------------------------------------------

    private void request() {
        String id = "r" + requests++;
        long expected = chance(0.5) ? 0 : 1 + random.nextLong(3 * work);
        Request request = new Request(
                id,
                random.nextInt(settings.classes().size()),
                random.nextInt(5) - 1,
                chance(0.5) ? "k" + random.nextInt(30) : null,
                expected,
                chance(0.05) ? random.nextLong(50 * MILLI) : 300 * MILLI + random.nextLong(3 * SECOND),
                chance(0.5),
                chance(0.2),
                chance(0.1));
        journal.note(
                Kind.REQUEST,
                now,
                id,
                request.classIndex(),
                request.tenant(),
                request.affinityKey(),
                request.expectedWork(),
                request.timeLeftMicros(),
                request.write(),
                request.retry(),
                request.bodyPending());
        balancer.requestArrived(now, request);
    }

    private void touchAttempt(int what) {
        if (outstanding.isEmpty() || chance(0.03)) {
            touch(what, "r" + random.nextInt(requests + 1), random.nextInt(6) - 1);
        } else {
            Attempt attempt = outstanding.get(random.nextInt(outstanding.size()));
            touch(what, attempt.request, attempt.number);
        }
    }

    private void touch(int what, String request, int attempt) {
        if (what == 0) {
            journal.note(Kind.CLIENT_DISCONNECTED, now, request);
            balancer.clientDisconnected(now, request);
        } else if (what == 1) {
            journal.note(Kind.RESPONSE_STARTED, now, request, attempt);
            balancer.responseStarted(now, request, attempt);
        } else if (what < 4) {
            journal.note(Kind.TRANSFER_STARTED, now, request, attempt);
            balancer.transferStarted(now, request, attempt);
        } else if (what == 4) {
            journal.note(Kind.PEER, now, attempt);
            balancer.peerMessageReceived(now, attempt, new byte[0]);
        } else {
            Outcome outcome = Outcome.values()[random.nextInt(Outcome.values().length)];
            outcome(request, attempt, "u" + random.nextInt(KNOWN_UPSTREAMS), outcome, random.nextLong(SECOND));
        }
    }

    private void outcome(String request, int attempt, String upstream, Outcome outcome, long duration) {
        boolean concluded = outcome == Outcome.OK || outcome == Outcome.ERROR && chance(0.2);
        LoadReport load = chance(settings.reports() == Reports.IN_RESPONSES ? 0.8 : 0.05) ? load(upstream) : null;
        journal.note(Kind.OUTCOME, now, request, attempt, upstream, outcome, duration, concluded);
        noteLoad(load);
        balancer.attemptEnded(now, new AttemptEnd(request, attempt, upstream, outcome, duration, concluded, load));
    }

    private LoadReport load(String upstream) {
        SimulatedUpstream simulatedUpstream = simulated.get(Integer.parseInt(upstream.substring(1)));
        double[] values = {
            Math.min(1, simulatedUpstream.inFlight / 5.0 * simulatedUpstream.slowness + 0.2 * random.nextDouble()),
            simulatedUpstream.inFlight + random.nextInt(3),
            random.nextInt(3),
            work * simulatedUpstream.slowness * (0.7 + 0.6 * random.nextDouble()),
            random.nextInt(50),
            random.nextInt(3)
        };
        for (int i = 0; i < values.length; i++) {
            values[i] = chance(0.05) ? IMPLAUSIBLE_NUMBERS[random.nextInt(IMPLAUSIBLE_NUMBERS.length)] : values[i];
        }
        return new LoadReport(values[0], values[1], values[2], values[3], values[4], values[5]);
    }

    private void noteLoad(LoadReport load) {
        journal.put(load != null);
        if (load != null) {
            journal.put(load.utilisation());
            journal.put(load.active());
            journal.put(load.waiting());
            journal.put(load.serviceTimeMicros());
        }
    }

    private void completeHealthCheck(String upstream) {
        Outcome outcome = chance(0.8) ? Outcome.OK : Outcome.values()[random.nextInt(Outcome.values().length)];
        LoadReport load = chance(0.9) ? load(upstream) : null;
        journal.note(Kind.HEALTH_CHECK_COMPLETED, now, upstream, outcome);
        noteLoad(load);
        balancer.healthCheckCompleted(now, upstream, outcome, load);
    }

    private void failDiscovery() {
        journal.note(Kind.ENDPOINTS, now, DISCOVERY_FAILED);
        balancer.endpointsUnavailable(now);
    }

    private void updateEndpoints(ListKind kind, int size) {
        List<Upstream> entries = new ArrayList<>();
        int first = kind == ListKind.CHANGES ? random.nextInt(upstreams + 2) : 0;
        journal.note(Kind.ENDPOINTS, now, kind);
        for (int i = first; i < Math.min(KNOWN_UPSTREAMS, first + size); i++) {
            SimulatedUpstream simulatedUpstream = simulated.get(i);
            simulatedUpstream.launchedAtMicros =
                    chance(0.4) ? now - random.nextLong(4 * SECOND) : simulatedUpstream.launchedAtMicros;
            State state = kind == ListKind.CHANGES && chance(0.3) ? State.values()[1 + random.nextInt(2)] : State.READY;
            double rating = chance(0.1) ? IMPLAUSIBLE_NUMBERS[random.nextInt(4)] : 0.5 + random.nextDouble();
            Upstream entry = new Upstream(
                    "u" + i,
                    i % settings.zones(),
                    i % 4 / 2,
                    i % 3,
                    state,
                    rating > 100 ? 100 : rating,
                    simulatedUpstream.launchedAtMicros);
            entries.add(entry);
            journal.put(entry.id());
            journal.put(state);
            journal.put(entry.rating());
            journal.put(entry.launchedAtMicros());
        }
        balancer.endpointsUpdated(now, kind, entries);
    }

    /** Ends one cordon at most: the policy renews the upstreams of ended cordons in an unspecified order. */
    private void cordons() {
        if (!cordoned.isEmpty() && chance(0.6)) {
            cordoned.remove(chance(0.5) ? cordoned.firstKey() : cordoned.lastKey());
        }
        if (cordoned.size() < 3 && chance(0.6)) {
            cordoned.putIfAbsent("u" + random.nextInt(upstreams), now - random.nextLong(2 * SECOND));
        }
        journal.note(Kind.CORDONS, now, cordoned.size());
        cordoned.forEach((id, since) -> {
            journal.put(id);
            journal.put(since);
        });
        balancer.cordonsUpdated(now, Cordons.of(cordoned));
    }

    private void plan() {
        if (!planners) {
            return;
        }
        List<UpstreamView> views = new ArrayList<>();
        Map<String, SlowStartQuota> quotas = new TreeMap<>();
        for (int i = 0; i < KNOWN_UPSTREAMS; i++) {
            if (chance(0.7)) {
                views.add(view(i));
            }
            if (chance(0.3)) {
                quotas.put("u" + i, quota(i));
            }
        }
        List<Double> zoneSpillover = new ArrayList<>();
        for (int zone = chance(0.3) ? 3 : 0; zone < settings.zones(); zone++) {
            zoneSpillover.add(chance(0.2) ? 0 : random.nextDouble());
        }
        long lastPlannerContactMicros = chance(0.05) ? 0 : now - random.nextLong(chance(0.1) ? 3 * SECOND : SECOND / 2);
        long ownQuotaBlockedUntilMicros = chance(0.2) ? now + random.nextLong(SECOND) : 0;
        long fadeOutTimeMicros = oneOf(1, 2, 4) * SECOND;
        journal.note(
                Kind.PLAN,
                now,
                lastPlannerContactMicros,
                fadeOutTimeMicros,
                ownQuotaBlockedUntilMicros,
                views.size(),
                quotas.size(),
                zoneSpillover.size());
        zoneSpillover.forEach(journal::put);
        balancer.planUpdated(
                now,
                new Plan(
                        lastPlannerContactMicros,
                        fadeOutTimeMicros,
                        views,
                        zoneSpillover,
                        ownQuotaBlockedUntilMicros,
                        quotas));
    }

    private UpstreamView view(int i) {
        double limit = chance(0.2) ? Double.NaN : 10 * Math.max(0.01, random.nextDouble() - 0.05);
        long launchedAtMicros =
                chance(0.03) ? now + random.nextLong(2 * SECOND) - SECOND : simulated.get(i).launchedAtMicros;
        boolean draining = chance(0.1);
        journal.put(limit);
        journal.put(launchedAtMicros);
        journal.put(draining);
        return new UpstreamView("u" + i, limit, launchedAtMicros, draining);
    }

    private SlowStartQuota quota(int i) {
        long launchedAtMicros = chance(0.8) ? simulated.get(i).launchedAtMicros : now;
        long delegatedUntilMicros = chance(0.5) ? 0 : now + random.nextLong(2 * SECOND);
        List<SlowStartGrant> grants = new ArrayList<>();
        for (int n = random.nextInt(3); n > 0; n--) {
            grants.add(new SlowStartGrant(random.nextInt(20), now + random.nextLong(2 * SECOND)));
        }
        journal.put(launchedAtMicros);
        journal.put(delegatedUntilMicros);
        grants.forEach(grant -> journal.put(grant.rate()));
        return new SlowStartQuota(launchedAtMicros, delegatedUntilMicros, grants);
    }

    private void summary() {
        Summary summary = balancer.summary(now);
        journal.note(Kind.SUMMARY, now, summary.queued());
        summary.demand().forEach(journal::put);
        for (UpstreamStatus status : summary.upstreams()) {
            List<Object> values = List.of(
                    status.id(),
                    status.zone(),
                    status.state(),
                    status.launchedAtMicros(),
                    status.inFlight(),
                    status.sent(),
                    status.weight(),
                    status.limit(),
                    status.utilisation(),
                    status.waiting(),
                    status.reportedAtMicros(),
                    status.ejected(),
                    status.slowStartQuota());
            values.forEach(journal::put);
        }
    }

    private void end(Attempt attempt, Outcome outcome) {
        if (!attempt.ended) {
            attempt.ended = true;
            outstanding.remove(attempt);
            simulated.get(Integer.parseInt(attempt.upstream.substring(1))).inFlight--;
            outcome(attempt.request, attempt.number, attempt.upstream, outcome, now - attempt.sentAt);
        }
    }

    // ---- Actions -------------------------------------------------------------------------------------

    @Override
    public void send(String request, String upstream, long timeout) {
        journal.note(Kind.SEND, now, request, upstream, timeout);
        List<Attempt> all = attempts.computeIfAbsent(request, id -> new ArrayList<>());
        Attempt attempt = new Attempt(request, all.size(), upstream, now);
        all.add(attempt);
        outstanding.add(attempt);
        SimulatedUpstream simulatedUpstream = simulated.get(Integer.parseInt(upstream.substring(1)));
        simulatedUpstream.inFlight++;
        long duration = (long) (work
                * simulatedUpstream.slowness
                * (0.3 + 1.4 * random.nextDouble())
                * (1 + simulatedUpstream.inFlight / 4.0));
        int fault = simulatedUpstream.fault != REFUSES_CONNECTIONS && chance(0.05)
                ? random.nextInt(6)
                : simulatedUpstream.fault;
        switch (fault) {
            case 1 -> later(duration, () -> end(attempt, Outcome.values()[random.nextInt(8)]));
            case 2 -> later(SECOND + 20 * duration, () -> end(attempt, chance(0.5) ? Outcome.TIMEOUT : Outcome.OK));
            case REFUSES_CONNECTIONS -> later(MILLI, () -> end(attempt, Outcome.CONNECT_FAILED));
            case 4 -> later(MILLI, () -> end(attempt, Outcome.REJECTED));
            case 5 -> later(
                    duration / 2,
                    () -> end(attempt, chance(0.2) ? Outcome.OK : chance(0.5) ? Outcome.ERROR : Outcome.RESET));
            default -> later(duration, () -> end(attempt, Outcome.OK));
        }
    }

    @Override
    public void reject(String request, long retryAfter) {
        journal.note(Kind.REJECT, now, request, retryAfter);
    }

    @Override
    public void fail(String request) {
        journal.note(Kind.FAIL, now, request);
    }

    @Override
    public void cancel(String request, int number) {
        journal.note(Kind.CANCEL, now, request, number);
        Attempt attempt = attempts.get(request).get(number);
        later(random.nextLong(5 * MILLI), () -> end(attempt, Outcome.CANCELLED));
    }

    @Override
    public void setTimer(Timer timer, long delay) {
        if (!tokens.contains(timer.token())) {
            tokens.add(timer.token());
        }
        int code = tokens.indexOf(timer.token()); // a token may be renamed
        journal.note(Kind.TIMER, now, code, delay);
        later(delay, () -> {
            journal.note(Kind.TIMER_DUE, now, code);
            balancer.timerFired(now, timer);
        });
    }

    @Override
    public void healthCheck(String upstream) {
        journal.note(Kind.HEALTH_CHECK, now, upstream);
        later(random.nextLong(20 * MILLI), () -> completeHealthCheck(upstream));
    }

    @Override
    public void closeIdle(String upstream) {
        journal.note(Kind.CLOSE_IDLE, now, upstream);
    }

    @Override
    public void watchEndpoints(boolean on) {
        journal.note(Kind.WATCH, now, on);
    }

    @Override
    public void fetchEndpoints() {
        journal.note(Kind.FETCH, now);
    }

    @Override
    public void sendToPeer(int peer, byte[] body) {
        journal.note(Kind.SEND_TO_PEER, now, peer, new String(body, StandardCharsets.ISO_8859_1));
    }

    @Override
    public void log(String text) {
        journal.note(Kind.LOG, now, text);
    }

    private boolean chance(double share) {
        return RandomSettings.chance(random, share);
    }

    private long oneOf(long... values) {
        return RandomSettings.oneOf(random, values);
    }
}
