package sedgeyoke.policy;

import static java.util.Comparator.comparingLong;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * The decisions. Each period every upstream is reweighted by how far its reported utilisation lies below or
 * above the fleet mean; a request goes to an upstream in proportion to (weight / (in-flight + 1))^bias. What
 * goes beyond that is a factor on the weight or a filter before the pick, and says what it guards against.
 */
public final class UtilizationWeightedPolicy implements LoadBalancingPolicy {

    /** How often timers look at deadlines and held requests. */
    private static final long SWEEP = 10_000;
    /** Mean reweighting period; each is drawn from half to one and a half of it, so balancers drift apart. */
    private static final long PERIOD = 250_000;
    /** Change of the log weight per period for a utilisation 1.0 off the mean. */
    private static final double GAIN = 0.25;
    /** Share of the learnt log weight that is forgotten each period: the leak towards the rating. */
    private static final double LEAK = 0.02;
    /** Bound of the learnt log weight: a factor of about 4.5 either way. */
    private static final double CLAMP = 1.5;
    /** A report older than this says nothing; the mean weight applies. */
    private static final long FRESH = 3_000_000;
    /** Our traffic of so long a time, and so many upstreams at least, are the sample that we pick from. */
    private static final long APERTURE_TIME = 3_000_000;

    private static final int LEAST_APERTURE = 6;
    /** Typical answer times in which a reported crowd is half forgotten twice; and the most that counts. */
    private static final double CROWD_TIMES = 20;

    private static final double MOST_CROWD = 1e3;
    /** Where traffic is thin, a home whose service takes so many times as long as elsewhere is none. */
    private static final double JAMMED = 3;
    /** Balancers that share one ring of upstreams to sample from. */
    private static final int SLOTS = 8;
    /** Share of their aims that answers may take, and how fast the share of requests let in follows. */
    private static final double ADMISSION_TARGET = 0.7;

    private static final double ADMISSION_GAIN = 0.2;
    private static final double LEAST_ADMITTED = 0.1;
    /** Retry budget: further attempts as a share of requests, and how many may be saved up. */
    private static final double RETRY_SHARE = 0.2;

    private static final double MOST_RETRIES = 3;
    /** Where traffic is thin: what an error counts, as few come by chance, and what a period leaves of it. */
    private static final double THIN_ERROR = 0.8;

    private static final double THIN_FADE = 0.95;
    /** Exponent of the pick: high enough that a clearly less loaded upstream nearly always wins. */
    private static final double BIAS = 4;
    /** Weight of the own zone: one, and this much for each point that crossing costs. */
    private static final double CROSSING = 80;
    /** How much more likely a key's home is in the own zone, where crossing costs. */
    private static final double OWN_HOME = 4;
    /** Weight factor for the upstream where a key is at home, where warm keys save work. */
    private static final double HOME = 2.5;
    /** Where traffic is thin: a home is as good as another upstream with so much fewer others in flight. */
    private static final double THIN_HOME = 5;
    /** In-flight limit of an upstream, by all balancers together, before anything is known: a short queue. */
    private static final double FIRST_TOTAL = 3;
    /** Lower bound of our own limit. */
    private static final double LEAST_LIMIT = 0.05;
    /** Waiting at an upstream that we aim at, as a share of the aim of the request's class. */
    private static final double WAIT_SHARE = 0.28;
    /** Least and most cut on an answer that waited too long; the step up is for a round of answers. */
    private static final double LIMIT_CUT = 0.8;

    private static final double DEEPEST_CUT = 0.4;
    private static final double LIMIT_STEP = 0.3;
    /** Reported utilisation below which nothing waits for a core. */
    private static final double ROOM = 0.8;
    /** How fast the least service time seen at an upstream is forgotten: it doubles in half a minute. */
    private static final double LEAST_DRIFT = Math.log(2) / 30e6;
    /** Smoothing of each answer into an upstream's own times. */
    private static final double SMOOTH = 0.15;
    /** Smoothing of what is kept over all upstreams: slower, as many more answers feed it. */
    private static final double SMOOTH_ALL = 0.02;
    /** An upstream that answers nothing for this many typical answer times is held to hang. */
    private static final double HANG_TIMES = 6;
    /** First and longest ejection. */
    private static final long FIRST_EJECTION = 1_000_000;

    private static final long LONGEST_EJECTION = 8_000_000;
    /** Panic threshold: ejections are ignored while fewer than this share of ready upstreams is left. */
    private static final double PANIC = 0.4;
    /** Points of the result that probing may cost; with the price this gives the probes for each request. */
    private static final double PROBE_POINTS = 0.003;
    /** No upstream is probed more often than this. */
    private static final long PROBE_GAP = 300_000;
    /**
     * Mean pause before a failed subscription to the list is tried again. It doubles with each failure, as
     * what fails for one balancer fails for all, up to this share of the time within which we have to ask.
     */
    private static final long ASK_AGAIN = 500_000;

    private static final double ASK_SHARE = 0.25;
    /** Part of our share of a cold upstream's budget that we use: the rest is for what we cannot see. */
    private static final double COLD_CARE = 0.5;
    /** Most that the speed of a kind may count, either way: reports may be nonsense. */
    private static final double MOST_SPEED = 5;
    /** Requests a second that each class is held to have at least, until they were counted. */
    private static final double LEAST_RATE = 0.01;
    /** Least size of a cold upstream's bucket, in mean requests; a dearer request does not go there. */
    private static final double COLD_COST = 1.5;
    /** What a transfer counts in the pick, beside a request at work: a connection, no core. */
    private static final double TRANSFER_COST = 0.1;
    /** How far our in-flight limit follows the planned one, as an exponent on their ratio. */
    private static final double PLANNED_LIMIT = 0.5;
    /** A request is given up a sweep and this long before its time: later, its answer counts as lost. */
    private static final long MARGIN_TICKS = 3;

    private final Settings settings;
    private final Actions out;
    private final SplittableRandom random;
    private final long margin;
    private final long waitTarget;
    private final long longestWait;

    private final Map<String, Up> byId = new LinkedHashMap<>();
    private final List<Up> ups = new ArrayList<>();
    private Map<String, Long> cordoned = Map.of();
    private final Map<String, Req> open = new HashMap<>();
    private final PriorityQueue<Req> byDeadline =
            new PriorityQueue<>(comparingLong((Req r) -> r.deadline).thenComparingLong(r -> r.number));
    private final TreeSet<Req> held =
            new TreeSet<>(Comparator.<Req>comparingDouble(r -> -r.value).thenComparingLong(r -> -r.number));
    private final double[] classTook;
    private final double[] refusedAfter;
    private final List<TokenBucket> tenantTokens;
    private long requestNumber;
    private long nextReweight;
    private long nextProbe;
    private double meanCrowd;
    /** Service time as reported by all upstreams, and by those of each kind. */
    private double meanService;

    private final Map<Integer, Double> kindService = new HashMap<>();
    private double admitted = 1;
    private double retryTokens = MOST_RETRIES;
    private long lists;
    private double typicalTook;
    private double meanCost;
    private double ratings;
    private final PlanBlend planned = new PlanBlend();
    private boolean wasPlanned;
    private final RateEstimator requestRate = new RateEstimator();
    private final List<RateEstimator> classRates;
    private long askAgainAt = Long.MAX_VALUE;
    private long askPause;

    /** Creates an instance; bad settings are refused with the field's name. */
    public UtilizationWeightedPolicy(Settings settings, long seed, Actions out) {
        SettingsValidator.check(settings);
        this.settings = settings;
        this.out = out;
        this.random = new SplittableRandom(seed);
        this.margin = SWEEP + MARGIN_TICKS * Math.max(settings.clockTick(), 1_000);
        List<RequestClass> classes = settings.classes();
        long shortestAim =
                classes.stream().mapToLong(RequestClass::latencyObjective).min().orElse(Long.MAX_VALUE);
        this.waitTarget = (long) (WAIT_SHARE * shortestAim);
        this.longestWait =
                classes.stream().mapToLong(RequestClass::clientTimeout).max().orElse(0);
        this.tenantTokens =
                settings.tenants().stream().map(tenant -> new TokenBucket()).toList();
        this.refusedAfter = new double[classes.size()];
        this.classTook = new double[classes.size()];
        this.classRates = classes.stream().map(each -> new RateEstimator()).toList();
    }

    /** What is known of one upstream. */
    private static final class Up {
        final String id;
        Upstream entry;
        /** Attempts that it may be working on, and beside them those that are transfers. */
        int inFlight;

        int transfers;
        int streams;
        double workInFlight;
        double logWeight;
        double weight = 1;
        double load = Double.NaN;
        LoadReport report;
        long reportAt = Long.MIN_VALUE / 2;
        double limit;
        long restUntil;
        long cutAt;
        double least;
        long leastAt;
        double took;
        double errors;
        long progressAt;
        long answeredAt = Long.MIN_VALUE / 2;
        boolean hanging;
        long ejectedUntil;
        long ejection = FIRST_EJECTION;
        SlowStartBucket cold;
        long sent;
        double limitFactor = 1;
        double plannedLimit = Double.NaN;
        double spill;
        boolean stopped;
        long toldLaunch;
        long probedAt = Long.MIN_VALUE / 2;
        double rank;
        double crowd;
        /** Service time as last reported, or that which an attempt at least had when it was given up. */
        double service;

        long serviceAt;

        Up(String id) {
            this.id = id;
        }

        /** Its latest start, by our own list or a planner's word. */
        long launchedAt() {
            return Math.max(entry.launchedAt(), toldLaunch);
        }
    }

    /** One attempt of a request. */
    private static final class Try {
        final Up up;
        final long sentAt;
        boolean limited;
        boolean outstanding = true;
        boolean mayHaveRun = true;
        boolean streaming;
        boolean transfer;

        Try(Up up, long sentAt) {
            this.up = up;
            this.sentAt = sentAt;
        }
    }

    /** One request that is owed an answer. */
    private static final class Req {
        final Request request;
        final RequestClass cls;
        final long number;
        final long arrivedAt;
        final long deadline;
        long aimAt;
        final List<Try> tries = new ArrayList<>(1);
        double cost;
        double value;
        int outstanding;
        boolean ended;
        boolean streaming;
        boolean waiting;
        Up home;
        long homeIn = -1;

        Req(Request request, RequestClass cls, long number, long now) {
            this.request = request;
            this.cls = cls;
            this.number = number;
            this.arrivedAt = now;
            this.deadline = now + request.timeLeft();
            long aim = cls.latencyObjective() + (long) (cls.objectiveStretch() * request.expectedWork());
            this.aimAt = Math.min(deadline, now + aim);
        }

        /** The first attempt that may have run; one still out may have. */
        Try guard() {
            return tries.stream().filter(t -> t.mayHaveRun).findFirst().orElse(null);
        }
    }

    @Override
    public void start(long now) {
        nextReweight = now + jitter(PERIOD);
        nextProbe = now + jitter(PROBE_GAP);
        out.setTimer("sweep", SWEEP);
        if (settings.subscribesToEndpoints()) {
            out.watchEndpoints(true);
        }
    }

    private long jitter(long period) {
        return period / 2 + random.nextLong(period);
    }

    @Override
    public void endpointsUpdated(long now, ListKind kind, List<Upstream> entries) {
        if (kind == ListKind.UNAVAILABLE) {
            long longest =
                    (long) Math.max(ASK_AGAIN, ASK_SHARE * settings.rules().endpointPollLimit());
            askPause = Math.min(longest, Math.max(ASK_AGAIN, 2 * askPause));
            askAgainAt = now + jitter(askPause);
            return;
        }
        askPause = 0;
        if (kind != ListKind.CHANGES) {
            byId.keySet().retainAll(entries.stream().map(Upstream::id).collect(Collectors.toSet()));
        }
        entries.forEach(e -> apply(now, e));
        byId.values().removeIf(u -> u.entry.state() == State.REMOVED); // new ids come all day
        order();
        pump(now);
    }

    /**
     * The order in which we sample: a ring of hashes that a few balancers share, each entering it elsewhere,
     * so that all upstreams are in about as many samples. Where crossing has a price, the own zone is sooner.
     */
    private void order() {
        lists++;
        ups.clear();
        byId.values().stream()
                .filter(u -> u.entry.state() == State.READY && !cordoned.containsKey(u.id))
                .forEach(ups::add);
        ups.sort(Comparator.<Up>comparingDouble(u -> u.rank).thenComparing(u -> u.id));
        Collections.rotate(ups, settings.position() % SLOTS * ups.size() / SLOTS);
        int[] seen = new int[2];
        Map<Up, Double> turn = new HashMap<>();
        ups.forEach(u -> turn.put(u, ++seen[zoneFactor(u) > 1 ? 1 : 0] / zoneFactor(u)));
        ups.sort(Comparator.comparingDouble(turn::get));
    }

    private void apply(long now, Upstream e) {
        Up up = byId.get(e.id());
        if (up == null || e.launchedAt() > up.entry.launchedAt()) {
            up = renew(e.id(), now);
        }
        up.entry = e;
    }

    /** A new process: what was known of the old one, and what it still held of ours, says nothing now. */
    private Up renew(String id, long now) {
        Up up = new Up(id);
        up.limit = firstLimit();
        up.cold = new SlowStartBucket(random.nextDouble(), now);
        up.rank = RendezvousHash.unit(settings.position() / SLOTS, id.hashCode());
        byId.put(id, up);
        return up;
    }

    /** Operators restart what they take out: it comes back cold as of now, unless the list knows better. */
    @Override
    public void cordonsUpdated(long now, Map<String, Long> out) {
        Map<String, Long> before = cordoned;
        cordoned = Map.copyOf(out);
        before.forEach((id, since) -> {
            Up old = byId.get(id);
            if (!cordoned.containsKey(id) && old != null && old.launchedAt() <= since) {
                Up up = renew(id, now);
                up.entry = old.entry;
                up.toldLaunch = now;
            }
        });
        order();
        pump(now);
    }

    private double firstLimit() {
        return Math.max(LEAST_LIMIT, FIRST_TOTAL / settings.groupSize());
    }

    private void reweight(long now) {
        double sum = 0;
        int fresh = 0;
        ratings = 0;
        for (Up up : ups) {
            up.errors *= sparse() ? THIN_FADE : 1;
            ratings += rating(up);
            up.load = Double.NaN;
            if (freshlyReported(up, now)) {
                up.load = Math.max(0, Math.min(1, up.report.utilisation()));
                sum += up.load;
                fresh++;
            }
        }
        double mean = fresh == 0 ? 0 : sum / fresh;
        double logSum = 0;
        for (Up up : ups) {
            if (!Double.isNaN(up.load)) {
                double moved = up.logWeight * (1 - LEAK) + GAIN * (mean - up.load);
                up.logWeight = Math.max(-CLAMP, Math.min(CLAMP, moved));
                logSum += up.logWeight;
            }
        }
        for (Up up : ups) {
            if (Double.isNaN(up.load)) {
                up.logWeight = fresh == 0 ? up.logWeight * (1 - LEAK) : logSum / fresh;
            }
            up.weight = rating(up) * Math.exp(up.logWeight);
        }
    }

    private static boolean freshlyReported(Up up, long now) {
        return up.report != null && now - up.reportAt <= FRESH;
    }

    private double rating(Up up) {
        return settings.ratings() == Ratings.NONE || !(up.entry.rating() > 0) ? speed(up) : up.entry.rating();
    }

    /**
     * How fast upstreams of its kind and zone are, against the mean of all: with thin traffic it takes too
     * long to learn that of each upstream, and homes dealt out evenly crowd the slow ones and small zones.
     */
    private double speed(Up up) {
        double kind = kindService.getOrDefault(peers(up), meanService);
        return sparse() && kind > 0 ? Math.max(1 / MOST_SPEED, Math.min(MOST_SPEED, meanService / kind)) : 1;
    }

    /** Those that share its zone and kind. */
    private int peers(Up up) {
        return up.entry.kind() * settings.zones() + up.entry.zone();
    }

    private void learn(Up up, LoadReport report, long now) {
        if (report == null || !(report.utilisation() >= -0.5 && report.utilisation() <= 2)) {
            return;
        }
        up.report = report;
        up.reportAt = now;
        double active = report.active() >= 0 ? report.active() : report.waiting();
        up.crowd = active >= 0 ? Math.min(active, MOST_CROWD) : 0;
        meanCrowd += SMOOTH * (up.crowd - meanCrowd);
        if (serviceTold(report)) {
            up.service = report.serviceTime();
            up.serviceAt = now;
            meanService = MovingAverage.next(meanService, up.service, SMOOTH_ALL);
            int peers = peers(up);
            kindService.merge(peers, up.service, (old, seen) -> MovingAverage.next(old, seen, SMOOTH_ALL));
        }
    }

    /**
     * The in-flight limit: additive increase, multiplicative decrease on the waiting seen at an upstream.
     * Only answers move it, with one cut at most for each round of sends, or one slow answer would close it.
     */
    private void adjustLimit(Up up, Try t, double wait, long aim, long now) {
        double target = WAIT_SHARE * aim;
        if (wait > target) {
            if (t.sentAt >= up.cutAt) {
                double cut = Math.max(DEEPEST_CUT, Math.min(LIMIT_CUT, target / wait));
                up.limit = Math.max(LEAST_LIMIT, up.limit * cut);
                up.cutAt = now;
            }
        } else if (t.limited) {
            up.limit += LIMIT_STEP * Math.min(up.limit, 1 / up.limit);
        }
    }

    /**
     * Whether its cores are not busy, by its latest report, which tells of all balancers' requests: there, an
     * answer that took long was long work. With a sliver of the traffic, our own answers are too few to tell.
     */
    private static boolean reportsRoom(Up up, long now) {
        return freshlyReported(up, now) && up.report.utilisation() < ROOM;
    }

    /**
     * What of an answer's time was waiting: all beyond the least service time seen lately. The reported
     * service time will not do: it rises with the crowd on an upstream that slows down when crowded.
     */
    private double waitOf(Up up, Req r, long took, long now) {
        boolean hinted = r.request.expectedWork() > 0;
        double reported = up.report == null ? Double.NaN : up.report.serviceTime();
        double sample = hinted ? took / r.cost : reported > 0 ? reported : up.took;
        double drifted = up.least * Math.exp((now - up.leastAt) * LEAST_DRIFT);
        up.least = up.least == 0 ? sample : Math.min(sample, drifted);
        up.leastAt = now;
        return took - (hinted ? ownService(r, up.least) : up.least);
    }

    /** The time that a request's hinted work takes at so much for a unit; 0 without a hint. */
    private static double ownService(Req r, double unit) {
        return r.request.expectedWork() > 0 ? r.cost * unit : 0;
    }

    private void checkHanging(long now) {
        for (Up up : ups) {
            long quiet = now - up.progressAt;
            double expected = HANG_TIMES * Math.max(Math.max(up.took, typicalTook), waitTarget)
                    + up.workInFlight * Math.max(1, up.least);
            if (!up.hanging && up.inFlight > up.streams && quiet > expected) {
                up.hanging = true;
                eject(up, now);
            }
        }
    }

    private void eject(Up up, long now) {
        if (up.ejectedUntil <= now) {
            up.ejectedUntil = now + up.ejection;
            up.ejection = Math.min(LONGEST_EJECTION, up.ejection * 2);
        }
    }

    private void noteOutcome(Up up, Req r, Try t, AttemptEnd end, long now) {
        if (end.outcome() == Outcome.OK) {
            up.progressAt = now;
            up.answeredAt = now;
            up.hanging = false;
            up.ejectedUntil = 0;
            up.ejection = FIRST_EJECTION;
            up.errors *= 1 - SMOOTH;
            if (r.request.bodyPending()) {
                return; // since its last byte went out, buffers took as much time as the upstream
            }
            up.took = MovingAverage.next(up.took, end.duration(), SMOOTH);
            typicalTook = MovingAverage.next(typicalTook, end.duration(), SMOOTH_ALL);
            double wait = waitOf(up, r, end.duration(), now);
            adjustLimit(up, t, reportsRoom(up, now) ? 0 : wait, r.cls.latencyObjective(), now);
            rest(up, end.duration(), now);
            int c = r.request.classIndex();
            classTook[c] = MovingAverage.next(classTook[c], end.duration(), SMOOTH_ALL);
        } else if (end.outcome() == Outcome.TIMEOUT || end.outcome() == Outcome.CANCELLED) {
            if (r.request.bodyPending()) {
                return;
            }
            // No answer in all that time is the longest waiting there is; the work may still run there.
            adjustLimit(up, t, end.duration() - ownService(r, up.least), r.cls.latencyObjective(), now);
            rest(up, end.duration(), now);
            if (end.duration() > meanService * slowness(up, now)) {
                up.service = end.duration(); // no report came with it: a jam is where reports are missing
                up.serviceAt = now;
            }
        } else if (end.outcome() == Outcome.CONNECT_FAILED) {
            // Nothing answered since that attempt was sent: dead, not a full table of connections.
            if (up.answeredAt < t.sentAt) {
                eject(up, now);
            } else {
                up.limit = Math.min(up.limit, Math.max(1, up.inFlight));
            }
        } else if (end.outcome() == Outcome.REJECTED) {
            up.limit = Math.max(LEAST_LIMIT, Math.min(up.limit, up.inFlight + 1) * LIMIT_CUT);
            if (sparse()) {
                up.restUntil = now + (long) typicalTook;
            }
            rest(up, typicalTook, now);
        } else if (end.outcome() == Outcome.ERROR || end.outcome() == Outcome.RESET) {
            up.progressAt = now;
            up.errors += (sparse() && end.outcome() == Outcome.ERROR ? THIN_ERROR : SMOOTH) * (1 - up.errors);
            if (up.errors > 0.5 && !sparse()) {
                eject(up, now);
            }
        }
    }

    /** With many balancers even one in flight from each is too much: below one, the limit is a pause. */
    private void rest(Up up, double took, long now) {
        if (up.limit < 1 && !sparse()) {
            up.restUntil = Math.max(up.restUntil, now + (long) (took * (1 / up.limit - 1)));
        }
    }

    private boolean ejected(Up up, long now) {
        return up.ejectedUntil > now || up.ejection > FIRST_EJECTION && up.inFlight > 0;
    }

    private boolean panic(long now) {
        int left = 0;
        for (Up up : ups) {
            left += ejected(up, now) ? 0 : 1;
        }
        return left < PANIC * ups.size();
    }

    /** Draws an upstream in proportion to (weight / (in-flight + 1))^bias; null if none may take it now. */
    private Up pick(Req r, long now, boolean pressing) {
        boolean panic = panic(now);
        double[] scores = new double[ups.size()];
        double sum = 0;
        int wanted = aperture();
        Up home = homeOf(r, now);
        for (int i = 0; i < scores.length; i++) {
            Up up = ups.get(i);
            // A key has one home in the whole fleet, which most balancers' own samples leave out.
            if (wanted <= 0 && up != home
                    || !mayTake(up, r, now, panic)
                    || (!pressing || sparse()) && !hasRoom(up, now)) {
                continue;
            }
            double w = up.weight * warmth(up, now) * Math.pow(1 - up.errors, 2) * (zoneFactor(up) + up.spill);
            if (up.ejection > FIRST_EJECTION) {
                w *= r.cls.effect() == Effect.UNSAFE ? 0.02 : 0.3;
            }
            double others = sparse() ? crowd(up, now) : 0;
            // What a cold one is due runs over if not taken now, as traffic is thin, and it warms by work.
            boolean preferred = up == home || sparse() && warmth(up, now) < 1;
            double drawn = preferred ? power(sparse() ? THIN_HOME : HOME) : 1;
            double score = sparse() ? w / slowness(up, now) : power(w);
            scores[i] = score * drawn / power(loadUnits(up) + others + 1);
            sum += scores[i];
            wanted--;
        }
        return sum > 0 ? ups.get(WeightedDraw.draw(scores, sum, random)) : null;
    }

    private boolean mayTake(Up up, Req r, long now, boolean panic) {
        return maySend(r, up, now) && (panic || !ejected(up, now)) && coldRoom(up, r, now);
    }

    /** What others have in flight there, as last reported; it fades to the mean, as a queue forgets. */
    private double crowd(Up up, long now) {
        return meanCrowd + memory(up.reportAt, now) * (up.crowd - meanCrowd);
    }

    /** How much longer its service takes than elsewhere, as last seen: crowds share cores and show there. */
    private double slowness(Up up, long now) {
        double ratio = up.service > 0 && meanService > 0 ? up.service / meanService : 1;
        return Math.pow(ratio, memory(up.serviceAt, now));
    }

    /** Longer than any client waits is nonsense, and would spoil the means for long. */
    private boolean serviceTold(LoadReport report) {
        return report.serviceTime() > 0 && report.serviceTime() <= longestWait;
    }

    /** How much of what was seen then still holds, from 1 to 0. */
    private double memory(long seenAt, long now) {
        return Math.max(0, 1 - (now - seenAt) / Math.max(1, CROWD_TIMES * typicalTook));
    }

    private static double power(double x) {
        return x * x * x * x;
    }

    /** In flight, half by count and half by hinted work in mean requests: one heavy request holds up many. */
    private double loadUnits(Up up) {
        double atWork = (up.inFlight + Math.max(0, up.workInFlight) / Math.max(meanCost, 1)) / 2;
        return atWork + TRANSFER_COST * up.transfers;
    }

    private boolean hasRoom(Up up, long now) {
        return now >= up.restUntil
                && (sparse() || up.inFlight + 1 <= Math.max(1, up.limit * up.limitFactor * warmth(up, now)));
    }

    /**
     * With more balancers than upstreams, ours is hardly ever the request that another one waits for: what an
     * answer took tells of the others' load; a limit on our own in-flight would refuse what has room.
     */
    private boolean sparse() {
        return settings.groupSize() > ups.size();
    }

    /**
     * The schedule is sampled where our traffic cannot keep reports of all upstreams fresh: only the first so
     * many in our own rendezvous order that are well take part, each balancer sampling others.
     */
    private int aperture() {
        return requestRate.periods() >= 4
                ? (int) Math.max(LEAST_APERTURE, requestRate.perSecond() * APERTURE_TIME / 1e6)
                : ups.size();
    }

    private double zoneFactor(Up up) {
        return up.entry.zone() == settings.zone()
                ? 1 + CROSSING * settings.prices().crossZone()
                : 1;
    }

    /** Where a key is at home, if that is well; found once for a list: what is held is asked all the time. */
    private Up homeOf(Req r, long now) {
        if (!settings.keyAffinity() || r.request.affinityKey() == null) {
            return null;
        }
        if (r.homeIn != lists) {
            r.homeIn = lists;
            r.home = home(r.request.affinityKey(), ups);
        }
        if (r.home == null || well(r.home, now)) {
            return r.home;
        }
        return home(
                r.request.affinityKey(),
                ups.stream().filter(up -> well(up, now)).toList());
    }

    /** Whether keys may be at home there; else they are at the next one in their order, the same for all. */
    private boolean well(Up up, long now) {
        return !ejected(up, now) && (!sparse() || up.errors < 0.5 && slowness(up, now) < JAMMED);
    }

    /** The same upstream at every balancer, by rendezvous hashing. */
    private Up home(String key, List<Up> among) {
        Up best = null;
        double most = Double.NEGATIVE_INFINITY;
        for (Up up : among) {
            double near = rating(up) * (zoneFactor(up) > 1 ? OWN_HOME : 1);
            double score = RendezvousHash.score(near, key.hashCode(), up.id.hashCode());
            if (score > most) {
                most = score;
                best = up;
            }
        }
        return best;
    }

    /** What rules 1 to 3 leave open for a further attempt. */
    private boolean maySend(Req r, Up up, long now) {
        if (r.ended
                || r.streaming
                || r.tries.size() >= settings.limits().maxAttempts()
                || up.entry.state() != State.READY
                || up.stopped
                || now >= r.deadline) {
            return false;
        }
        if (r.tries.isEmpty()) {
            return true;
        }
        if (r.outstanding > 0 && !settings.limits().hedging()) {
            return false;
        }
        Try guard = r.guard();
        if (guard == null || r.cls.effect() == Effect.SAFE) {
            return true;
        }
        return r.cls.effect() == Effect.IDEMPOTENT_WITH_KEY
                && sameGroup(r.cls.scope(), guard.up, up)
                && now - guard.sentAt < r.cls.deduplicationWindow() - margin;
    }

    private static boolean sameGroup(Scope scope, Up a, Up b) {
        return scope == Scope.ALL
                || scope == Scope.ZONE && a.entry.zone() == b.entry.zone()
                || scope == Scope.CELL && a.entry.cell() == b.entry.cell();
    }

    private static boolean mayRefuse(Req r) {
        return r.cls.effect() == Effect.SAFE
                || r.guard() == null
                || r.cls.effect() == Effect.IDEMPOTENT_WITH_KEY && r.cls.scope() == Scope.ALL;
    }

    private void send(Req r, Up up, long now) {
        hold(r, false);
        if (up.inFlight == 0) {
            up.progressAt = now;
        }
        Try t = new Try(up, now);
        r.tries.add(t);
        r.outstanding++;
        atWork(t, r, 1);
        t.limited = up.limit < 1 ? now - up.restUntil < up.took : up.inFlight + 1 > up.limit;
        up.sent++;
        up.cold.spend(coldCharge(r));
        out.send(r.request.id(), up.id, 0);
    }

    /** Counts an attempt in (1) or off (-1), as work or as a transfer. */
    private static void atWork(Try t, Req r, int sign) {
        t.up.transfers += t.transfer ? sign : 0;
        t.up.inFlight += t.transfer ? 0 : sign;
        t.up.workInFlight += t.transfer ? 0 : sign * r.cost;
        t.up.streams += t.streaming && !t.transfer ? sign : 0;
    }

    @Override
    public void transferStarted(long now, String request, int attempt) {
        Req r = open.get(request);
        Try t = r == null || attempt < 0 || attempt >= r.tries.size() ? null : r.tries.get(attempt);
        if (t != null && t.outstanding && !t.transfer) {
            atWork(t, r, -1);
            t.transfer = true;
            atWork(t, r, 1);
            pump(now);
        }
    }

    @Override
    public void attemptEnded(long now, AttemptEnd end) {
        Up up = byId.get(end.upstream());
        if (up != null) {
            learn(up, end.load(), now);
        }
        Req r = open.get(end.request());
        if (r == null || end.attempt() < 0 || end.attempt() >= r.tries.size()) {
            return;
        }
        Try t = r.tries.get(end.attempt());
        if (t.outstanding) {
            t.outstanding = false;
            r.outstanding--;
            t.mayHaveRun = !end.outcome().neverRan;
            atWork(t, r, -1);
            noteOutcome(t.up, r, t, end, now);
            if (end.outcome() == Outcome.REJECTED) {
                steerAdmission(1.5);
            } else if (!end.outcome().neverRan && !r.request.bodyPending()) {
                steerAdmission((double) end.duration() / r.cls.latencyObjective());
            }
        }
        if (end.concluded()) {
            r.ended = true;
        }
        if (r.ended) {
            forgetIfDone(r);
        } else if (r.outstanding == 0) {
            next(r, now);
        }
        pump(now);
    }

    /** After an attempt has failed: another one where that is legal and of use, else the final answer. */
    private void next(Req r, long now) {
        boolean mayTry = now < r.deadline - margin && (!sparse() || retryTokens-- >= 1);
        Up up = r.guard() == null || !mayTry ? null : pick(r, now, true);
        if (up != null) {
            send(r, up, now);
        } else if (mayTry
                && r.guard() == null
                && r.tries.size() < settings.limits().maxAttempts()) {
            hold(r, true);
        } else {
            finish(r, now);
        }
    }

    /** The final answer of a request that could not be served: a refusal where legal, else a failure. */
    private void finish(Req r, long now) {
        hold(r, false);
        if (mayRefuse(r)) {
            out.reject(r.request.id(), 0);
            int c = r.request.classIndex();
            refusedAfter[c] += r.request.retry() ? 0 : 0.05 * (now - r.arrivedAt - refusedAfter[c]);
        } else {
            out.fail(r.request.id());
        }
        conclude(r, now);
    }

    private void conclude(Req r, long now) {
        hold(r, false);
        r.ended = true;
        for (int i = 0; i < r.tries.size() && settings.limits().cancel() && !r.streaming; i++) {
            if (r.tries.get(i).outstanding) {
                out.cancel(r.request.id(), i);
            }
        }
        forgetIfDone(r);
    }

    private void forgetIfDone(Req r) {
        if (r.outstanding == 0) {
            open.remove(r.request.id());
        }
    }

    @Override
    public void responseStarted(long now, String request, int attempt) {
        Req r = open.get(request);
        if (r != null && attempt >= 0 && attempt < r.tries.size() && !r.streaming) {
            r.streaming = true;
            r.tries.get(attempt).streaming = true;
            r.tries.get(attempt).up.streams++;
        }
    }

    @Override
    public void clientDisconnected(long now, String request) {
        Req r = open.get(request);
        if (r != null && !r.ended) {
            conclude(r, now);
        }
    }

    @Override
    public void requestArrived(long now, Request request) {
        Req r = new Req(request, settings.classes().get(request.classIndex()), requestNumber++, now);
        // The aim of a retry runs from the first try, and a refusal is what mostly lies behind it.
        r.aimAt -= request.retry() ? (long) refusedAfter[request.classIndex()] : 0;
        r.cost = request.expectedWork() > 0 ? request.expectedWork() : costOf(request.classIndex());
        r.value = r.cls.priorityWeight()
                / (settings.priorityPerRequest() ? 1 : r.cost)
                * (withinShare(request.tenant(), now) ? 1 : settings.overQuotaPriority());
        meanCost = request.expectedWork() > 0 ? MovingAverage.next(meanCost, r.cost, 0.01) : meanOfClasses();
        if (!request.retry()) {
            requestRate.count(); // a retry of a client adds no room at cold ones
        }
        classRates.get(request.classIndex()).count();
        open.put(request.id(), r);
        byDeadline.add(r);
        if (now >= r.deadline - margin) {
            finish(r, now); // a late try of an impatient client: no time is left to find that out at leisure
            return;
        }
        if (sparse() && random.nextDouble() >= admitted) {
            finish(r, now);
            return;
        }
        retryTokens = Math.max(0, Math.min(MOST_RETRIES, retryTokens + RETRY_SHARE));
        hold(r, true);
        pump(now);
    }

    /**
     * Load shedding without a word between balancers: the share that is let in follows how much of their aims
     * our answers take. It guards against a jam of the whole fleet, where all is served and all of it late.
     */
    private void steerAdmission(double shareOfAim) {
        double moved = admitted + ADMISSION_GAIN * (ADMISSION_TARGET - Math.min(2, shareOfAim));
        admitted = Math.max(LEAST_ADMITTED, Math.min(1, moved));
    }

    /** Our part of a tenant's allowance, a bucket of a second; beyond it a held request loses its place. */
    private boolean withinShare(int tenant, long now) {
        if (tenant < 0
                || tenant >= tenantTokens.size()
                || settings.tenants().get(tenant).allowance() <= 0) {
            return true;
        }
        double perSecond = settings.tenants().get(tenant).allowance() / settings.groupSize();
        return tenantTokens.get(tenant).tryTake(perSecond, now);
    }

    private void hold(Req r, boolean on) {
        if (on) {
            held.add(r);
        } else if (r.waiting) {
            held.remove(r);
        }
        r.waiting = on;
    }

    /** Sends what is held, dearest first, as long as upstreams have room. */
    private void pump(long now) {
        if (held.isEmpty() || ups.stream().noneMatch(up -> hasRoom(up, now))) {
            return; // trying all that is held at every event would cost the more the further behind we are
        }
        sendHome(now);
        int misses = 0;
        for (Req r = held.isEmpty() ? null : held.first(); r != null && misses < 3; ) {
            Req following = held.higher(r);
            Up up = pick(r, now, false);
            if (up != null) {
                send(r, up, now);
            } else {
                misses++;
            }
            r = following;
        }
    }

    /**
     * Held requests go first where their keys are at home: the first of the queue would take scarce room,
     * keys would be served cold everywhere, and the dearer work would keep the jam alive.
     */
    private void sendHome(long now) {
        boolean panic = panic(now);
        for (Req r : held.size() < 2 || !settings.keyAffinity() ? List.<Req>of() : new ArrayList<>(held)) {
            Up home = homeOf(r, now);
            if (home != null && hasRoom(home, now) && mayTake(home, r, now, panic)) {
                send(r, home, now);
            }
        }
    }

    /** Refuses held requests whose aim can no longer be met and that are worth nothing late. */
    private void shed(long now) {
        for (Req r : new ArrayList<>(held)) {
            if (now + classTook[r.request.classIndex()] > r.aimAt && r.cls.latePriorityWeight() <= 0) {
                finish(r, now);
            }
        }
    }

    private double warmth(Up up, long now) {
        long age = now - up.launchedAt();
        PlatformRules f = settings.rules();
        if (up.launchedAt() <= 0 || age >= f.slowStartTime() || f.slowStartTime() <= 0) {
            return 1;
        }
        return f.initialCapacity() + (1 - f.initialCapacity()) * Math.max(0, age) / f.slowStartTime();
    }

    /**
     * A cold upstream takes fallMultiple times its capacity at most. Our part is a share of that multiple of
     * its even part of our traffic: over all balancers this sums to the capacity, however uneven traffic is
     * and soon after a restart too. The bucket starts at random, or all would send a first request at once.
     * While we shed, for the jam of the warm ones, a cold one is still owed more than what we let in.
     * Where planners run, balancers lend these parts to each other; no planner ever makes a new one. A body
     * that is still coming is not sent there: its work would come whenever its client likes, many at once.
     */
    private boolean coldRoom(Up up, Req r, long now) {
        if (warmth(up, now) >= 1) {
            return true;
        }
        refillCold(up, now);
        return !r.request.bodyPending() && up.cold.tokens() >= coldCharge(r);
    }

    private double coldRate(Up up, long now) {
        double rating = rating(up);
        double letIn = Math.sqrt(admitted) * requestRate.perSecond() / 1e6;
        double even = letIn * rating / Math.max(ratings, rating);
        return COLD_CARE * settings.rules().overloadMultiple() * warmth(up, now) * even;
    }

    private void refillCold(Up up, long now) {
        SlowStartQuota right = planned.right(up.id, up.launchedAt());
        long fallTime = settings.rules().overloadWindow();
        up.cold.refill(now, coldRate(up, now), right, planned.quietUntil(), fallTime, COLD_COST);
    }

    /**
     * In mean requests, and one at least: those with hints small enough for the bucket are dearer than they
     * say. The bucket holds mean requests, too: what one costs is learnt while it fills.
     */
    private double coldCharge(Req r) {
        return Math.max(r.cost / meanCost, 1);
    }

    /** What a request without a hint costs: the time that its class takes, as far as that is known. */
    private double costOf(int classIndex) {
        double known = classTook[classIndex] > 0 ? classTook[classIndex] : typicalTook;
        return known > 0 ? known : 1;
    }

    /** Of the classes by their rates, so that it moves with them: a mean of its own would lag behind. */
    private double meanOfClasses() {
        double cost = 0;
        double rates = 0;
        for (int c = 0; c < classRates.size(); c++) {
            double rate = Math.max(classRates.get(c).perSecond(), LEAST_RATE);
            cost += rate * costOf(c);
            rates += rate;
        }
        return cost / rates;
    }

    @Override
    public void planUpdated(long now, Plan plan) {
        ups.forEach(up -> settleCold(up, now));
        planned.hear(now, plan);
        plan.upstreams().forEach(view -> apply(now, view));
        ups.forEach(up -> settleCold(up, now)); // what was saved up under a lent right is forfeited
        steer(now);
        pump(now);
    }

    private void settleCold(Up up, long now) {
        if (warmth(up, now) < 1) {
            refillCold(up, now);
        }
    }

    /** A planner can make us send less, or more by a grant; it adds nothing to our own list. */
    private void apply(long now, UpstreamView view) {
        Up up = byId.get(view.id());
        if (up == null) {
            return;
        }
        if (view.launchedAt() > up.launchedAt()
                && view.launchedAt() <= now + settings.rules().slowStartTime()) {
            up.toldLaunch = view.launchedAt(); // a start that our own list has yet to tell of
            up.cold = new SlowStartBucket(0, now);
        }
        up.stopped = view.draining();
        up.plannedLimit = view.limit();
    }

    /** Turns the plan into factors, which all stand at their neutral values where it counts for nothing. */
    private void steer(long now) {
        double strength = planned.strength(now);
        int stopped = 0;
        for (Up up : ups) {
            boolean limited = strength > 0 && up.plannedLimit > 0 && up.limit > 0;
            up.limitFactor = limited ? Math.pow(up.plannedLimit / up.limit, PLANNED_LIMIT * strength) : 1;
            double near = strength > 0 ? planned.spill(up.entry.zone(), settings.zone(), now) : 0;
            up.spill = near * CROSSING * settings.prices().crossZone();
            up.stopped &= strength > 0;
            stopped += up.stopped ? 1 : 0;
        }
        if (ups.size() - stopped < PANIC * ups.size()) {
            ups.forEach(up -> up.stopped = false); // so many cannot all drain: we go by our own list
        }
    }

    @Override
    public Summary summary(long now) {
        List<Double> demand = classRates.stream().map(RateEstimator::perSecond).toList();
        List<UpstreamStatus> standings = new ArrayList<>(byId.size());
        for (Up up : byId.values()) {
            boolean reported = up.report != null;
            boolean cold = warmth(up, now) < 1 && meanCost > 0;
            double used = reported ? up.report.utilisation() : Double.NaN;
            double waiting = reported ? up.report.waiting() : Double.NaN;
            double right = cold ? coldRate(up, now) * 1e6 : 0;
            standings.add(new UpstreamStatus(
                    up.id,
                    up.entry.zone(),
                    up.entry.state(),
                    up.launchedAt(),
                    up.inFlight,
                    up.sent,
                    up.weight,
                    up.limit,
                    used,
                    waiting,
                    reported ? up.reportAt : 0,
                    ejected(up, now) || cordoned.containsKey(up.id),
                    right));
        }
        return new Summary(demand, standings, held.size());
    }

    @Override
    public void timerFired(long now, String token) {
        if (!token.equals("sweep")) {
            return;
        }
        out.setTimer("sweep", SWEEP);
        expire(now);
        checkHanging(now);
        double strength = planned.strength(now);
        if (strength < 1 && (strength > 0 || wasPlanned)) {
            steer(now); // while it fades or rises; at full strength the next plan is soon enough
        }
        wasPlanned = strength > 0;
        shed(now);
        if (now >= nextReweight) {
            long period = jitter(PERIOD);
            requestRate.endPeriod(period);
            classRates.forEach(rate -> rate.endPeriod(period));
            reweight(now);
            nextReweight = now + period;
        }
        if (now >= askAgainAt && settings.subscribesToEndpoints()) {
            askAgainAt = Long.MAX_VALUE;
            out.watchEndpoints(true);
        }
        probe(now);
        pump(now);
    }

    private void expire(long now) {
        while (!byDeadline.isEmpty()) {
            Req r = byDeadline.peek();
            if (!r.ended && r.deadline - margin > now) {
                return;
            }
            byDeadline.poll();
            if (!r.ended && !r.streaming) {
                finish(r, now);
            }
        }
    }

    /** Steady health checks where reports come no other way; their rate follows from price and traffic. */
    private void probe(long now) {
        boolean allowed = settings.reports() == Reports.BY_HEALTH_CHECK
                && settings.limits().healthChecks();
        if (!allowed || now < nextProbe || ups.isEmpty()) {
            return;
        }
        double price = settings.prices().healthCheck();
        double share = price > 0 ? PROBE_POINTS / price : 1;
        double requests = Math.max(requestRate.perSecond(), 1);
        double perSecond = Math.min(share * requests, ups.size() * 1e6 / PROBE_GAP);
        nextProbe = now + jitter((long) (1e6 / perSecond));
        Up oldest = Collections.min(ups, Comparator.comparingLong(up -> up.probedAt));
        oldest.probedAt = now;
        out.healthCheck(oldest.id);
    }

    @Override
    public void healthCheckCompleted(long now, String upstream, Outcome outcome, LoadReport load) {
        Up up = byId.get(upstream);
        if (up != null && outcome == Outcome.OK) {
            learn(up, load, now);
        }
    }

    @Override
    public void peerMessageReceived(long now, int from, byte[] body) {
        // Balancers need nothing from each other.
    }
}
