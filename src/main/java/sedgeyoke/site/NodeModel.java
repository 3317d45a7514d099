package sedgeyoke.site;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * An order node: so many cores of some speed, a queue, a memory for keys, load reports, and a cold start after which it
 * can be pushed over. Work takes time but no processor. What it does is written into the {@link Ledger}. It knows
 * neither sockets nor threads: the host gives it a clock, timers and the way back, so the same node serves stand-ins on
 * real sockets and the emulator in virtual time. Times are microseconds.
 */
public final class NodeModel {
    private static final long REPORT_EVERY = 500_000;
    private static final long KEY_WARM_FOR = 8_000_000;
    private static final double WARM_KEY_WORK = 0.6;
    private static final int MOST_KEYS = 200;
    /** A little slack for chance, as the platform's rule has. */
    private static final double SLACK_REQUESTS = 2;
    private static final double SMOOTH = 0.1;
    private static final double FIRST_SERVICE_MS = 30;

    private final SiteSpec.NodeSpec spec;
    private final SiteSpec site;
    private final Host host;
    private final Ledger ledger;
    private final SplittableRandom random;
    /** Keys whose repeats the nodes of one zone drop: shared among them. */
    private final ZoneMemory effects;
    private final Deque<Job> queue = new ArrayDeque<>();
    private final Deque<double[]> coldArrivals = new ArrayDeque<>();
    private double coldSum;
    private final Map<String, Long> warmKeys = new LinkedHashMap<>(16, 0.75f, true);
    private long process;
    private long launchedAt;
    private boolean silent;
    private boolean draining;
    private boolean fallen;
    private Failing failing = Failing.NOT;
    private double slowdown = 1;
    private int working;
    private long busyTime;
    private long busyTotal;
    private long measuredAt;
    private double reportedUtil;
    private int reportedQueue;
    private double serviceMs = FIRST_SERVICE_MS;
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
        /** Run. */ DONE,
        /** Rejected unseen, as the queue is full or the node drains. */ FULL,
        /** Failed; it may have run. */ ERROR
    }

    /** How a node may fail without going down. */
    public enum Failing {
        /** It does not. */ NOT,
        /** Errors at once, without any work. */ FAST,
        /** Errors after all the work, whose effect stands. */ SLOW
    }

    /** An answer with the node's load report: cores in use, 0 to 1, requests waiting, mean service time. */
    public record Answer(Kind kind, double utilisation, int waiting, int active, double serviceMs) { }

    /** A request in its queue or at work; {@code work} as if its key were cold. */
    private record Job(String id, String key, double work, boolean effect, boolean fails, Reply reply, long process) { }

    /** A node that is warm and idle. {@code zoneEffects} is shared by the nodes of its zone. */
    public NodeModel(SiteSpec.NodeSpec spec, SiteSpec site, Host host, Ledger ledger, ZoneMemory zoneEffects,
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
        host.after(1 + random.nextLong(REPORT_EVERY), this::measure);
    }

    // ---- What it is ----------------------------------------------------------------------------------

    /** In a word, for a table. */
    public String state() {
        return fallen ? "fallen" : silent ? "silent" : draining ? "draining" : warmth() < 1 ? "cold" : "up";
    }

    /** What it is made of. */
    public SiteSpec.NodeSpec spec() {
        return spec;
    }

    /** Requests waiting and at work. */
    public int inFlight() {
        return queue.size() + working;
    }

    /** How busy its cores were lately, 0 to 1. */
    public double utilisation() {
        return reportedUtil;
    }

    /** Mean time of a request at work lately, in milliseconds. */
    public double serviceMs() {
        return serviceMs;
    }

    /** Core time worked since the start; a share of the time of all its cores is its true utilisation. */
    public long worked() {
        return busyTotal;
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
        process++;
        workLost += queue.stream().mapToDouble(Job::work).sum() + workAtCores;
        workAtCores = 0;
        queue.clear();
        working = 0;
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
        slowdown = factor;
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
        reportedUtil = Math.min(1, busyTime / (double) Math.max(1, (now - measuredAt) * spec.cores()));
        reportedQueue = queue.size();
        busyTime = 0;
        measuredAt = now;
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
        WorkClass cls = ledger.arrived(id, spec.id(), now);
        if (cls == null) {
            reply.answer(report(Kind.ERROR));
            return;
        }
        double work = cls.draw(random);
        press(work, now);
        if (silent) {
            return;
        }
        if (draining || queue.size() >= spec.queue()) {
            reply.answer(report(Kind.FULL));
            return;
        }
        if (failing == Failing.FAST) {
            reply.answer(report(Kind.ERROR));
            return;
        }
        boolean effect = idempotencyKey == null || !effects.known(idempotencyKey, now);
        workIn += work;
        queue.add(new Job(id, key, work, effect, failing == Failing.SLOW, reply, process));
        next();
    }

    private void next() {
        while (working < spec.cores() && !queue.isEmpty()) {
            Job job = queue.poll();
            working++;
            workAtCores += job.work();
            if (job.effect()) {
                ledger.ran(job.id(), spec.id());
            }
            long now = host.now();
            double work = warm(job.key(), now) ? job.work() * WARM_KEY_WORK : job.work();
            long takes = Math.round(work * 1e6 * slowdown / (spec.speed() * warmth()));
            host.after(takes, () -> done(job, takes));
        }
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

    private void done(Job job, long took) {
        if (job.process() != process) {
            return; // the process that did it is gone
        }
        working--;
        workAtCores -= job.work();
        workDone += job.work();
        busyTime += took;
        busyTotal += took;
        serviceMs += SMOOTH * (took / 1e3 - serviceMs);
        job.reply().answer(report(job.fails() ? Kind.ERROR : Kind.DONE));
        next();
    }

    private Answer report(Kind kind) {
        return new Answer(kind, reportedUtil, reportedQueue, inFlight(), serviceMs);
    }
}
