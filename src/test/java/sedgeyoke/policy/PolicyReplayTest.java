package sedgeyoke.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import sedgeyoke.policy.LoadBalancingPolicy.AttemptEnd;
import sedgeyoke.policy.LoadBalancingPolicy.Effect;
import sedgeyoke.policy.LoadBalancingPolicy.Limits;
import sedgeyoke.policy.LoadBalancingPolicy.ListKind;
import sedgeyoke.policy.LoadBalancingPolicy.LoadReport;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.policy.LoadBalancingPolicy.Plan;
import sedgeyoke.policy.LoadBalancingPolicy.PlatformRules;
import sedgeyoke.policy.LoadBalancingPolicy.Prices;
import sedgeyoke.policy.LoadBalancingPolicy.Ratings;
import sedgeyoke.policy.LoadBalancingPolicy.Reports;
import sedgeyoke.policy.LoadBalancingPolicy.Request;
import sedgeyoke.policy.LoadBalancingPolicy.RequestClass;
import sedgeyoke.policy.LoadBalancingPolicy.Scope;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;
import sedgeyoke.policy.LoadBalancingPolicy.SlowStartGrant;
import sedgeyoke.policy.LoadBalancingPolicy.SlowStartQuota;
import sedgeyoke.policy.LoadBalancingPolicy.State;
import sedgeyoke.policy.LoadBalancingPolicy.Summary;
import sedgeyoke.policy.LoadBalancingPolicy.Tenant;
import sedgeyoke.policy.LoadBalancingPolicy.Upstream;
import sedgeyoke.policy.LoadBalancingPolicy.UpstreamStatus;
import sedgeyoke.policy.LoadBalancingPolicy.UpstreamView;

/**
 * Freezes what {@link UtilizationWeightedPolicy} decides: random events of all kinds, under random settings, are
 * replayed, and a digest of all events and all decisions is held against a constant. A refactoring must leave it as it
 * is; a commit that means to change decisions replaces the constants by those that the failure prints. Names of types
 * and constants never enter the digest.
 */
class PolicyReplayTest {
    private static final int SEEDS = 150;
    private static final int STEPS = 1_000;
    private static final String EXPECTED = "3c42a4b34434888a3e894e8da85768d2";
    /** The digests of the groups of settings, which tell where a difference lies. */
    private static final List<String> EXPECTED_GROUPS = List.of(
            "68502730530b317c659735cbcb5a725b", "359599330e70087c90129090470f69de",
            "a5847163f40c712ccbc38e59b2e72657", "8b64f4ab1126384de5fb181743fb2c35",
            "927dc88e8b8df2f76f79156bd0267173", "1c519ad9fc92696c0cd6a084b343498c");

    /** What enters the digest, events first; its code is the ordinal. */
    private enum Kind {
        START,
        LIST,
        REQUEST,
        OUTCOME,
        OPENED,
        TRANSFERS,
        CLIENT_GONE,
        PROBED,
        TIMER_DUE,
        PEER,
        PLAN,
        CORDONS,
        SUMMARY,
        SEND,
        REFUSE,
        FAIL,
        CANCEL,
        TIMER,
        PROBE,
        WATCH,
        CLOSE_IDLE,
        FETCH,
        TELL,
        LOG
    }

    @Test
    void decisionsAreThoseOfBefore() {
        int[] counts = new int[Kind.values().length];
        List<Journal> groups = new ArrayList<>();
        EXPECTED_GROUPS.forEach(expected -> groups.add(new Journal(counts)));
        for (int seed = 0; seed < SEEDS; seed++) {
            Journal journal = new Journal(counts);
            new Replay(seed, journal).run();
            groups.get(seed % groups.size()).put(journal.hex());
        }
        Journal total = new Journal(counts);
        List<String> found = groups.stream().map(Journal::hex).toList();
        found.forEach(total::put);
        assertCovered(counts);
        assertEquals(EXPECTED, total.hex(), () -> difference(found));
    }

    private static void assertCovered(int[] counts) {
        for (Kind kind : Kind.values()) {
            int least =
                    switch (kind) {
                        case START -> SEEDS;
                        case CLOSE_IDLE, FETCH, TELL, LOG -> 0; // the module has no use for them
                        case PROBE, WATCH, CORDONS -> 150;
                        case SEND, REQUEST, OUTCOME, TIMER_DUE, TIMER -> 20_000;
                        default -> 500;
                    };
            int count = counts[kind.ordinal()];
            assertTrue(count >= least, () -> kind + " occurred only " + count + " times");
        }
    }

    private static String difference(List<String> found) {
        StringBuilder text = new StringBuilder("decisions differ; digests by group of settings:\n");
        for (int group = 0; group < found.size(); group++) {
            boolean same = found.get(group).equals(EXPECTED_GROUPS.get(group));
            text.append(Replay.manyBalancers(group) ? "more balancers than upstreams" : "few balancers")
                    .append(", reports ")
                    .append(Replay.reports(group))
                    .append(": ")
                    .append(found.get(group))
                    .append(same ? " as before\n" : " DIFFERS\n");
        }
        return text.toString();
    }

    /** A digest of all that is put in, and a count of each kind. */
    private static final class Journal {
        private final MessageDigest digest;
        private final int[] counts;

        Journal(int[] counts) {
            this.counts = counts;
            try {
                digest = MessageDigest.getInstance("SHA-256");
            } catch (NoSuchAlgorithmException e) {
                throw new IllegalStateException(e);
            }
        }

        /** Puts in one event or action with its arguments: numbers, truth values, strings, enum constants, null. */
        void note(Kind kind, long now, Object... arguments) {
            counts[kind.ordinal()]++;
            put(kind.ordinal());
            put(now);
            for (Object argument : arguments) {
                put(argument);
            }
        }

        void put(Object value) {
            if (value instanceof Double number) {
                put(Double.doubleToLongBits(number));
            } else if (value instanceof Number number) {
                put(number.longValue());
            } else if (value instanceof Boolean truth) {
                put(truth ? 1 : 0);
            } else if (value instanceof Enum<?> constant) {
                put(constant.ordinal());
            } else if (value instanceof String text) {
                put(text.length());
                digest.update(text.getBytes(StandardCharsets.UTF_8));
            } else if (value == null) {
                put(-1);
            } else {
                throw new IllegalArgumentException("no code for " + value);
            }
        }

        private void put(long value) {
            digest.update(ByteBuffer.allocate(Long.BYTES).putLong(value).array());
        }

        String hex() {
            return HexFormat.of().formatHex(digest.digest()).substring(0, 32);
        }
    }

    /** One attempt that the module sent, as the harness answers it. */
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

    /** What the harness plays of one upstream: how it fares, and how long it takes. */
    private static final class Played {
        long launchedAt;
        int mood;
        int busy;
        final double slowness;

        Played(double slowness) {
            this.slowness = slowness;
        }
    }

    /** A thing to do later. */
    private record Due(long at, long number, Runnable task) {}

    /** One run: a host that plays clients, upstreams, discovery, planners and operators at random. */
    private static final class Replay implements LoadBalancingPolicy.Actions {
        private static final long MILLI = 1_000;
        private static final long SECOND = 1_000_000;
        private static final int UNIVERSE = 20;
        private static final int DEAD = 3;
        /** Traffic so thin that the sample of upstreams is the least one; it plays fewer steps, as each is long. */
        private static final long THIN_PACE = 400;

        private static final double[] NONSENSE = {Double.NaN, -1, 1e300, 0, Double.POSITIVE_INFINITY, -0.3, 1.5, 3};

        private final SplittableRandom random;
        private final Journal journal;
        private final Settings settings;
        private final LoadBalancingPolicy balancer;
        private final PriorityQueue<Due> due = new PriorityQueue<>(
                (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.number, b.number));
        private final Map<String, List<Attempt>> attempts = new HashMap<>();
        private final List<Attempt> live = new ArrayList<>();
        private final List<String> tokens = new ArrayList<>();
        private final List<Played> played = new ArrayList<>();
        private final TreeMap<String, Long> cordoned = new TreeMap<>();
        private final int upstreams;
        private final boolean planners;
        private final double calm;
        private final long pace;
        private final long work;
        private long now = 100 * SECOND;
        private long dues;
        private int requests;

        Replay(int seed, Journal journal) {
            this.random = new SplittableRandom(1_000 + seed);
            this.journal = journal;
            this.upstreams = 2 + random.nextInt(12);
            this.planners = random.nextInt(3) > 0;
            this.calm = random.nextInt(3) > 0 ? 0.6 : 0;
            this.pace = one(2, 8, 50, THIN_PACE) * MILLI;
            this.work = one(5, 30, 120) * MILLI;
            for (int i = 0; i < UNIVERSE; i++) {
                played.add(new Played(0.5 + (chance(0.25) ? 6 : 1) * random.nextDouble()));
            }
            played.get(0).mood = chance(0.5) ? DEAD : 0; // for good, so that it is ejected again and again
            this.settings = settings(seed);
            this.balancer = new UtilizationWeightedPolicy(settings, seed, this);
        }

        static boolean manyBalancers(int seed) {
            return seed / 3 % 2 == 1;
        }

        static int reports(int seed) {
            return seed % 3;
        }

        private Settings settings(int seed) {
            List<RequestClass> classes = new ArrayList<>();
            for (int i = 0; i < 5; i++) {
                classes.add(new RequestClass(
                        one(50, 200, 600) * MILLI,
                        random.nextInt(2),
                        one(1, 2, 3) * SECOND,
                        1 + random.nextInt(4),
                        random.nextInt(2) * 0.5,
                        Effect.values()[i % 3],
                        Scope.values()[random.nextInt(3)],
                        one(100, 1_000, 5_000) * MILLI,
                        chance(0.3)));
            }
            List<Tenant> tenants = new ArrayList<>();
            for (int i = random.nextInt(4); i > 0; i--) {
                tenants.add(new Tenant(chance(0.3) ? 0 : 5 + random.nextInt(100), random.nextDouble()));
            }
            int zones = 1 + random.nextInt(3);
            int group = manyBalancers(seed) ? upstreams + random.nextInt(12) : 1 + random.nextInt(3);
            Limits limits = new Limits(
                    1 + random.nextInt(4),
                    chance(0.5),
                    chance(0.8),
                    chance(0.7),
                    chance(0.5),
                    20_000,
                    chance(0.5),
                    SECOND,
                    SECOND / 4,
                    10 * SECOND,
                    1);
            PlatformRules rules = new PlatformRules(
                    20 * MILLI,
                    one(1, 4, 10) * SECOND,
                    0.1 + 0.4 * random.nextDouble(),
                    one(0, 3, 20) * SECOND,
                    SECOND,
                    1 + random.nextInt(4),
                    one(1, 2, 4) * SECOND);
            Prices prices = new Prices(random.nextInt(2) * 0.02, 0.1, random.nextInt(2) * 0.001, 0.05, 0);
            return new Settings(
                    random.nextInt(zones),
                    zones,
                    random.nextInt(20),
                    group,
                    classes,
                    tenants,
                    0.2,
                    chance(0.5),
                    limits,
                    rules,
                    prices,
                    Reports.values()[reports(seed)],
                    Ratings.values()[random.nextInt(Ratings.values().length)],
                    chance(0.6),
                    chance(0.6),
                    random.nextInt(6) * MILLI);
        }

        void run() {
            journal.note(Kind.START, now);
            balancer.start(now);
            list(ListKind.RESTORED, upstreams);
            int steps = pace == THIN_PACE * MILLI ? STEPS / 3 : STEPS;
            for (int step = 0; step < steps; step++) {
                advance(chance(0.01) ? random.nextLong(SECOND) : random.nextLong(2 * pace));
                step();
            }
            advance(5 * SECOND);
            summary();
        }

        private void advance(long by) {
            long until = now + by;
            while (!due.isEmpty() && due.peek().at <= until) {
                Due next = due.poll();
                now = Math.max(now, next.at);
                next.task.run();
            }
            now = until;
        }

        private void later(long delay, Runnable task) {
            due.add(new Due(now + Math.max(1, delay), dues++, task));
        }

        private void step() {
            int dice = random.nextInt(100);
            if (dice < 60) {
                request();
            } else if (dice < 78) {
                touchAttempt(dice % 6);
            } else if (dice < 82) {
                probed("u" + random.nextInt(UNIVERSE));
            } else if (dice < 86) {
                summary();
            } else if (dice < 92) {
                plan();
            } else if (dice < 94) {
                played.get(1 + random.nextInt(UNIVERSE - 1)).mood = chance(0.75) ? 0 : random.nextInt(6);
            } else if (!chance(calm)) {
                disturb();
            } else {
                request();
            }
        }

        private void disturb() {
            int dice = random.nextInt(10);
            if (dice < 5) {
                list(ListKind.CHANGES, 1 + random.nextInt(3));
            } else if (dice < 6) {
                list(chance(0.5) ? ListKind.COMPLETE : ListKind.RESTORED, upstreams + random.nextInt(3));
            } else if (dice < 8) {
                list(ListKind.UNAVAILABLE, 0);
            } else {
                cordons();
            }
        }

        // ---- Events --------------------------------------------------------------------------------------

        private void request() {
            String id = "r" + requests++;
            long expected = chance(0.5) ? 0 : 1 + random.nextLong(3 * work);
            Request r = new Request(
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
                    r.classIndex(),
                    r.tenant(),
                    r.affinityKey(),
                    r.expectedWork(),
                    r.timeLeft(),
                    r.write(),
                    r.retry(),
                    r.bodyPending());
            balancer.requestArrived(now, r);
        }

        private void touchAttempt(int what) {
            if (live.isEmpty() || chance(0.03)) {
                touch(what, "r" + random.nextInt(requests + 1), random.nextInt(6) - 1);
            } else {
                Attempt a = live.get(random.nextInt(live.size()));
                touch(what, a.request, a.number);
            }
        }

        private void touch(int what, String request, int attempt) {
            if (what == 0) {
                journal.note(Kind.CLIENT_GONE, now, request);
                balancer.clientDisconnected(now, request);
            } else if (what == 1) {
                journal.note(Kind.OPENED, now, request, attempt);
                balancer.responseStarted(now, request, attempt);
            } else if (what < 4) {
                journal.note(Kind.TRANSFERS, now, request, attempt);
                balancer.transferStarted(now, request, attempt);
            } else if (what == 4) {
                journal.note(Kind.PEER, now, attempt);
                balancer.peerMessageReceived(now, attempt, new byte[0]);
            } else {
                Outcome outcome = Outcome.values()[random.nextInt(Outcome.values().length)];
                outcome(request, attempt, "u" + random.nextInt(UNIVERSE), outcome, random.nextLong(SECOND));
            }
        }

        private void outcome(String request, int attempt, String upstream, Outcome outcome, long took) {
            boolean concluded = outcome == Outcome.OK || outcome == Outcome.ERROR && chance(0.2);
            LoadReport load = chance(settings.reports() == Reports.IN_RESPONSES ? 0.8 : 0.05) ? load(upstream) : null;
            journal.note(Kind.OUTCOME, now, request, attempt, upstream, outcome, took, concluded);
            noteLoad(load);
            balancer.attemptEnded(now, new AttemptEnd(request, attempt, upstream, outcome, took, concluded, load));
        }

        private LoadReport load(String upstream) {
            Played p = played.get(Integer.parseInt(upstream.substring(1)));
            double[] v = {
                Math.min(1, p.busy / 5.0 * p.slowness + 0.2 * random.nextDouble()),
                p.busy + random.nextInt(3),
                random.nextInt(3),
                work * p.slowness * (0.7 + 0.6 * random.nextDouble()),
                random.nextInt(50),
                random.nextInt(3)
            };
            for (int i = 0; i < v.length; i++) {
                v[i] = chance(0.05) ? NONSENSE[random.nextInt(NONSENSE.length)] : v[i];
            }
            return new LoadReport(v[0], v[1], v[2], v[3], v[4], v[5]);
        }

        private void noteLoad(LoadReport load) {
            journal.put(load != null);
            if (load != null) {
                journal.put(load.utilisation());
                journal.put(load.active());
                journal.put(load.waiting());
                journal.put(load.serviceTime());
            }
        }

        private void probed(String upstream) {
            Outcome outcome = chance(0.8) ? Outcome.OK : Outcome.values()[random.nextInt(Outcome.values().length)];
            LoadReport load = chance(0.9) ? load(upstream) : null;
            journal.note(Kind.PROBED, now, upstream, outcome);
            noteLoad(load);
            balancer.healthCheckCompleted(now, upstream, outcome, load);
        }

        private void list(ListKind kind, int size) {
            List<Upstream> entries = new ArrayList<>();
            int first = kind == ListKind.CHANGES ? random.nextInt(upstreams + 2) : 0;
            journal.note(Kind.LIST, now, kind);
            for (int i = first; i < Math.min(UNIVERSE, first + size); i++) {
                Played p = played.get(i);
                p.launchedAt = chance(0.4) ? now - random.nextLong(4 * SECOND) : p.launchedAt;
                State state =
                        kind == ListKind.CHANGES && chance(0.3) ? State.values()[1 + random.nextInt(2)] : State.READY;
                double rating = chance(0.1) ? NONSENSE[random.nextInt(4)] : 0.5 + random.nextDouble();
                Upstream e = new Upstream(
                        "u" + i,
                        i % settings.zones(),
                        i % 4 / 2,
                        i % 3,
                        state,
                        rating > 100 ? 100 : rating,
                        p.launchedAt);
                entries.add(e);
                journal.put(e.id());
                journal.put(state);
                journal.put(e.rating());
                journal.put(e.launchedAt());
            }
            balancer.endpointsUpdated(now, kind, entries);
        }

        /** Takes one back at most: the module renews those taken back in an order that it doesn't state. */
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
            balancer.cordonsUpdated(now, cordoned);
        }

        private void plan() {
            if (!planners) {
                return;
            }
            List<UpstreamView> views = new ArrayList<>();
            Map<String, SlowStartQuota> cold = new TreeMap<>();
            for (int i = 0; i < UNIVERSE; i++) {
                if (chance(0.7)) {
                    views.add(view(i));
                }
                if (chance(0.3)) {
                    cold.put("u" + i, right(i));
                }
            }
            List<Double> spill = new ArrayList<>();
            for (int zone = chance(0.3) ? 3 : 0; zone < settings.zones(); zone++) {
                spill.add(chance(0.2) ? 0 : random.nextDouble());
            }
            long heardAt = chance(0.05) ? 0 : now - random.nextLong(chance(0.1) ? 3 * SECOND : SECOND / 2);
            long quietUntil = chance(0.2) ? now + random.nextLong(SECOND) : 0;
            long fadeTime = one(1, 2, 4) * SECOND;
            journal.note(Kind.PLAN, now, heardAt, fadeTime, quietUntil, views.size(), cold.size(), spill.size());
            spill.forEach(journal::put);
            balancer.planUpdated(now, new Plan(heardAt, fadeTime, views, spill, quietUntil, cold));
        }

        private UpstreamView view(int i) {
            double limit = chance(0.2) ? Double.NaN : 10 * Math.max(0.01, random.nextDouble() - 0.05);
            long launchedAt = chance(0.03) ? now + random.nextLong(2 * SECOND) - SECOND : played.get(i).launchedAt;
            boolean draining = chance(0.1);
            journal.put(limit);
            journal.put(launchedAt);
            journal.put(draining);
            return new UpstreamView("u" + i, limit, launchedAt, draining);
        }

        private SlowStartQuota right(int i) {
            long launchedAt = chance(0.8) ? played.get(i).launchedAt : now;
            long lentUntil = chance(0.5) ? 0 : now + random.nextLong(2 * SECOND);
            List<SlowStartGrant> grants = new ArrayList<>();
            for (int n = random.nextInt(3); n > 0; n--) {
                grants.add(new SlowStartGrant(random.nextInt(20), now + random.nextLong(2 * SECOND)));
            }
            journal.put(launchedAt);
            journal.put(lentUntil);
            grants.forEach(grant -> journal.put(grant.rate()));
            return new SlowStartQuota(launchedAt, lentUntil, grants);
        }

        private void summary() {
            Summary s = balancer.summary(now);
            journal.note(Kind.SUMMARY, now, s.queued());
            s.demand().forEach(journal::put);
            for (UpstreamStatus u : s.upstreams()) {
                List<Object> values = List.of(
                        u.id(),
                        u.zone(),
                        u.state(),
                        u.launchedAt(),
                        u.inFlight(),
                        u.sent(),
                        u.weight(),
                        u.limit(),
                        u.utilisation(),
                        u.waiting(),
                        u.reportedAt(),
                        u.ejected(),
                        u.slowStartQuota());
                values.forEach(journal::put);
            }
        }

        private void end(Attempt a, Outcome outcome) {
            if (!a.ended) {
                a.ended = true;
                live.remove(a);
                played.get(Integer.parseInt(a.upstream.substring(1))).busy--;
                outcome(a.request, a.number, a.upstream, outcome, now - a.sentAt);
            }
        }

        // ---- Actions -------------------------------------------------------------------------------------

        @Override
        public void send(String request, String upstream, long timeout) {
            journal.note(Kind.SEND, now, request, upstream, timeout);
            List<Attempt> all = attempts.computeIfAbsent(request, id -> new ArrayList<>());
            Attempt a = new Attempt(request, all.size(), upstream, now);
            all.add(a);
            live.add(a);
            Played p = played.get(Integer.parseInt(upstream.substring(1)));
            p.busy++;
            long took = (long) (work * p.slowness * (0.3 + 1.4 * random.nextDouble()) * (1 + p.busy / 4.0));
            int mood = p.mood != DEAD && chance(0.05) ? random.nextInt(6) : p.mood;
            switch (mood) {
                case 1 -> later(took, () -> end(a, Outcome.values()[random.nextInt(8)]));
                case 2 -> later(SECOND + 20 * took, () -> end(a, chance(0.5) ? Outcome.TIMEOUT : Outcome.OK));
                case DEAD -> later(MILLI, () -> end(a, Outcome.CONNECT_FAILED));
                case 4 -> later(MILLI, () -> end(a, Outcome.REJECTED));
                case 5 -> later(
                        took / 2, () -> end(a, chance(0.2) ? Outcome.OK : chance(0.5) ? Outcome.ERROR : Outcome.RESET));
                default -> later(took, () -> end(a, Outcome.OK));
            }
        }

        @Override
        public void reject(String request, long retryAfter) {
            journal.note(Kind.REFUSE, now, request, retryAfter);
        }

        @Override
        public void fail(String request) {
            journal.note(Kind.FAIL, now, request);
        }

        @Override
        public void cancel(String request, int attempt) {
            journal.note(Kind.CANCEL, now, request, attempt);
            Attempt a = attempts.get(request).get(attempt);
            later(random.nextLong(5 * MILLI), () -> end(a, Outcome.CANCELLED));
        }

        @Override
        public void setTimer(String token, long delay) {
            if (!tokens.contains(token)) {
                tokens.add(token);
            }
            int code = tokens.indexOf(token); // a token may be renamed
            journal.note(Kind.TIMER, now, code, delay);
            later(delay, () -> {
                journal.note(Kind.TIMER_DUE, now, code);
                balancer.timerFired(now, token);
            });
        }

        @Override
        public void healthCheck(String upstream) {
            journal.note(Kind.PROBE, now, upstream);
            later(random.nextLong(20 * MILLI), () -> probed(upstream));
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
            journal.note(Kind.TELL, now, peer, new String(body, StandardCharsets.ISO_8859_1));
        }

        @Override
        public void log(String text) {
            journal.note(Kind.LOG, now, text);
        }

        private boolean chance(double share) {
            return random.nextDouble() < share;
        }

        private long one(long... values) {
            return values[random.nextInt(values.length)];
        }
    }
}
