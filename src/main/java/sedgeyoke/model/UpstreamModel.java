package sedgeyoke.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * An order node: so many cores of some speed, shared by what is at work, a queue, a memory for keys, load reports, and
 * a cold start after which it can be pushed over. Work takes time but no processor. What it does is written into the
 * {@link InvariantChecker}. It knows neither sockets nor threads: the host gives it a clock, timers and the way back,
 * so the same node serves stand-ins on real sockets and the emulator in virtual time. Times are microseconds.
 */
public final class UpstreamModel {
    private static final long REPORT_EVERY = 500_000;
    /** What is measured shows in answers so much later. */
    private static final long REPORT_DELAY = 250_000;

    private static final long KEY_WARM_FOR = 8_000_000;
    private static final double WARM_KEY_WORK = 0.6;
    private static final int MOST_KEYS = 200;
    /** A little slack for chance, as the platform's rule has. */
    private static final double SLACK_REQUESTS = 2;

    private static final double SMOOTH = 0.1;
    /** Beyond so many requests at work for each core it gets less done, down to the least at twice as many. */
    private static final double CROWDED_FROM = 6;

    private static final double CROWDED_LOSS = 0.4;
    /** While it warms up, its speed is looked at so often. */
    private static final long WARMING_LOOK = 50_000;

    private static final double FIRST_SERVICE_MS = 30;

    private final SiteModel.NodeSpec spec;
    private final SiteModel site;
    private final Host host;
    private final InvariantChecker ledger;
    private final SplittableRandom random;
    /** Keys whose repeats the nodes of one zone drop: shared among them. */
    private final IdempotencyKeyCache effects;

    private final Deque<Job> queue = new ArrayDeque<>();
    private final Deque<double[]> coldArrivals = new ArrayDeque<>();
    private double coldSum;
    private final Map<String, Long> warmKeys = new LinkedHashMap<>(16, 0.75f, true);
    private long launchedAt;
    private boolean silent;
    private boolean draining;
    private boolean fallen;
    private Failing failing = Failing.NOT;
    private double slowdown = 1;
    /** Those at work, by the progress at which each is done: all of them progress alike. */
    private final PriorityQueue<Active> working = new PriorityQueue<>();
    /** Seconds of work done for each request that was at work all the time, and when that was last brought up. */
    private double progress;

    private long progressAt;
    private long looks;
    private long started;
    private double busyTime;
    private double busyTotal;
    private long measuredAt;
    private double serviceMs = FIRST_SERVICE_MS;
    private Measured reported = new Measured(0, 0, FIRST_SERVICE_MS);
    private double workIn;
    private double workDone;
    private double workLost;
    private double workAtCores;

    /** Where it runs. */
    public interface Host {
        /** Microseconds of a clock that only advances. */
        long now();

        /** Does something later. */
        void after(long delay, Runnable what);
    }

    /** The way back to whoever sent a request. */
    public interface Reply {
        /** The one answer; never called for what is lost with a process. */
        void answer(Answer answer);
    }

    /** What an answer is. */
    public enum Kind {
        /** Run. */
        DONE,
        /** Rejected unseen, as the queue is full or the node drains. */
        FULL,
        /** Failed; it may have run. */
        ERROR
    }

    /** How a node may fail without going down. */
    public enum Failing {
        /** It does not. */
        NOT,
        /** Errors at once, without any work. */
        FAST,
        /** Errors after all the work, whose effect stands. */
        SLOW
    }

    /** An answer with the node's load report: cores in use, 0 to 1, requests waiting, mean service time. */
    public record Answer(Kind kind, double utilisation, int waiting, int active, double serviceMs) {}

    /** A request in its queue or at work; {@code work} as if its key were cold. */
    private record Job(String id, String key, double work, boolean effect, boolean fails, Reply reply) {}

    /** What a load report tells. */
    private record Measured(double utilisation, int waiting, double serviceMs) {}

    /** One at work. */
    private record Active(Job job, double doneAt, long since, long number) implements Comparable<Active> {
        @Override
        public int compareTo(Active other) {
            int first = Double.compare(doneAt, other.doneAt);
            return first != 0 ? first : Long.compare(number, other.number);
        }
    }

    /** A node that is warm and idle. {@code zoneEffects} is shared by the nodes of its zone. */
    public UpstreamModel(
            SiteModel.NodeSpec spec,
            SiteModel site,
            Host host,
            InvariantChecker ledger,
            IdempotencyKeyCache zoneEffects,
            long seed) {
        this.spec = spec;
        this.site = site;
        this.host = host;
        this.ledger = ledger;
        this.effects = zoneEffects;
        this.random = new SplittableRandom(seed ^ spec.id().hashCode());
    }

    /** Begins to measure itself, with a phase of its own. */
    public void start() {
        measuredAt = host.now();
        progressAt = measuredAt;
        host.after(1 + random.nextLong(REPORT_EVERY), this::measure);
    }

    // ---- What it is ----------------------------------------------------------------------------------

    /** In a word, for a table. */
    public String state() {
        return fallen ? "fallen" : silent ? "silent" : draining ? "draining" : warmth() < 1 ? "cold" : "up";
    }

    /** What it is made of. */
    public SiteModel.NodeSpec spec() {
        return spec;
    }

    /** Requests waiting and at work. */
    public int inFlight() {
        return queue.size() + working.size();
    }

    /** How busy its cores were lately, 0 to 1. */
    public double utilisation() {
        return reported.utilisation();
    }

    /** Mean time of a request at work lately, in milliseconds. */
    public double serviceMs() {
        return serviceMs;
    }

    /** Core time worked since the start; a share of the time of all its cores is its true utilisation. */
    public long worked() {
        progress();
        return Math.round(busyTotal);
    }

    /** Its latest start; 0 for long ago. */
    public long launchedAt() {
        return launchedAt;
    }

    /** Whether it was told to drain. */
    public boolean draining() {
        return draining;
    }

    /** Whether it answers nothing. */
    public boolean silent() {
        return silent;
    }

    /** Whether it serves and can be sent to: neither silent, fallen nor draining. */
    public boolean serves() {
        return !silent && !draining;
    }

    /** What it could do now with all its cores, in seconds of work a second. */
    public double speedNow() {
        return spec.capacity() * warmth() / slowdown;
    }

    /** Work in, less work done, lost and still held: nothing but rounding, or the books are wrong. */
    public double unaccounted() {
        double held = queue.stream().mapToDouble(Job::work).sum() + workAtCores;
        return workIn - workDone - workLost - held;
    }

    // ---- What may happen to it -----------------------------------------------------------------------

    /** The machine says nothing any more: requests are neither run nor answered. */
    public void vanish() {
        silent = true;
        lose();
    }

    /** The process starts anew, cold, at its address; what it held is lost. */
    public void restart() {
        lose();
        warmKeys.clear();
        coldArrivals.clear();
        coldSum = 0;
        silent = false;
        draining = false;
        fallen = false;
        failing = Failing.NOT;
        launchedAt = host.now();
    }

    private void lose() {
        progress();
        looks++;
        workLost += queue.stream().mapToDouble(Job::work).sum() + workAtCores;
        workAtCores = 0;
        queue.clear();
        working.clear();
    }

    /** It finishes what it has and wants nothing new. */
    public void drain() {
        draining = true;
    }

    /** How it fails from now on. */
    public void fail(Failing how) {
        failing = how;
    }

    /** Work takes that many times as long from now on. */
    public void slow(double factor) {
        progress();
        slowdown = factor;
        look();
    }

    /** Share of its capacity that it has now. */
    private double warmth() {
        if (launchedAt == 0) {
            return 1;
        }
        double age = (host.now() - launchedAt) / 1e3 / site.rules().coldMs();
        return Math.min(1, site.rules().startCapacity() + (1 - site.rules().startCapacity()) * Math.max(0, age));
    }

    // ---- Requests ------------------------------------------------------------------------------------

    private void measure() {
        long now = host.now();
        progress();
        double utilisation = Math.min(1, busyTime / Math.max(1, (now - measuredAt) * spec.cores()));
        Measured seen = new Measured(utilisation, queue.size(), serviceMs);
        busyTime = 0;
        measuredAt = now;
        host.after(REPORT_DELAY, () -> reported = seen);
        host.after(REPORT_EVERY, this::measure);
    }

    /** Guards the rule on cold nodes: every bit of work that arrives adds pressure, rejected work too. */
    private void press(double work, long now) {
        double warmth = warmth();
        if (launchedAt == 0 || warmth >= 1) {
            return;
        }
        coldArrivals.add(new double[] {now, work});
        coldSum += work;
        long window = site.rules().fallMs() * 1_000;
        while (coldArrivals.peek()[0] <= now - window) {
            coldSum -= coldArrivals.poll()[1];
        }
        double budget = site.rules().fallMultiple() * warmth * spec.capacity() * window / 1e6
                + SLACK_REQUESTS * site.meanWork();
        ledger.coldLoad(coldSum / budget);
        if (coldSum > budget && !fallen) {
            fallen = true;
            ledger.fell(spec.id());
            vanish();
        }
    }

    /** The last byte of a request has come. {@code idempotencyKey} is null where it has none. */
    public void take(String id, String key, String idempotencyKey, Reply reply) {
        long now = host.now();
        RequestClassModel cls = ledger.arrived(id, spec.id(), now);
        if (cls == null) {
            reply.answer(report(Kind.ERROR));
            return;
        }
        double work = cls.draw(random);
        press(work, now);
        if (silent) {
            return;
        }
        if (draining || working.size() >= spec.slots() && queue.size() >= spec.queue()) {
            reply.answer(report(Kind.FULL));
            return;
        }
        if (failing == Failing.FAST) {
            reply.answer(report(Kind.ERROR));
            return;
        }
        boolean effect = idempotencyKey == null || !effects.known(idempotencyKey, now);
        workIn += work;
        queue.add(new Job(id, key, work, effect, failing == Failing.SLOW, reply));
        next();
    }

    private void next() {
        progress();
        while (working.size() < spec.slots() && !queue.isEmpty()) {
            Job job = queue.poll();
            workAtCores += job.work();
            if (job.effect()) {
                ledger.ran(job.id(), spec.id());
            }
            long now = host.now();
            double work = warm(job.key(), now) ? job.work() * WARM_KEY_WORK : job.work();
            working.add(new Active(job, progress + work, now, started++));
        }
        look();
    }

    /** Seconds of work that each request at work gets done in a microsecond. */
    private double pace() {
        double perCore = working.size() / (double) spec.cores();
        double crowded = Math.min(1, Math.max(0, perCore / CROWDED_FROM - 1));
        return spec.speed() * warmth() / slowdown / Math.max(1, perCore) * (1 - CROWDED_LOSS * crowded) / 1e6;
    }

    /** Brings up what was done since the last look; to be called before anything changes the pace. */
    private void progress() {
        long now = host.now();
        double busy = (now - progressAt) * (double) Math.min(working.size(), spec.cores());
        busyTime += busy;
        busyTotal += busy;
        progress += (now - progressAt) * pace();
        progressAt = now;
    }

    /** Looks again when the next one is done; earlier looks that are still to come count for nothing. */
    private void look() {
        long mine = ++looks;
        if (working.isEmpty()) {
            return;
        }
        double left = Math.max(0, working.peek().doneAt() - progress) / pace();
        long wait = Math.max(1, Math.round(left));
        host.after(warmth() < 1 ? Math.min(wait, WARMING_LOOK) : wait, () -> {
            if (mine == looks) {
                finish();
            }
        });
    }

    private void finish() {
        progress();
        List<Active> done = new ArrayList<>();
        // Half a microsecond of work counts as done: the clock has no smaller step.
        while (!working.isEmpty() && working.peek().doneAt() <= progress + pace() / 2) {
            done.add(working.poll());
        }
        done.forEach(this::done);
        next();
    }

    private boolean warm(String key, long now) {
        if (key == null || key.isEmpty()) {
            return false;
        }
        Long met = warmKeys.put(key, now);
        if (warmKeys.size() > MOST_KEYS) {
            warmKeys.remove(warmKeys.keySet().iterator().next());
        }
        return met != null && now - met < KEY_WARM_FOR;
    }

    private void done(Active it) {
        workAtCores -= it.job().work();
        workDone += it.job().work();
        serviceMs += SMOOTH * ((host.now() - it.since()) / 1e3 - serviceMs);
        it.job().reply().answer(report(it.job().fails() ? Kind.ERROR : Kind.DONE));
    }

    private Answer report(Kind kind) {
        return new Answer(kind, reported.utilisation(), reported.waiting(), inFlight(), reported.serviceMs());
    }
}
