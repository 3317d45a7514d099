package sedgeyoke.model;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * A model of an order node: cores that requests share, a queue, a cache of affinity keys, load reports, and a slow
 * start during which too much load makes the node fail. Work takes modelled time and uses no processor time. Arrivals
 * and executions are reported to an {@link InvariantChecker}. A {@link Host} provides the clock and timers, so the same
 * model runs in the stand-ins on sockets and in the simulation in virtual time. Times are microseconds.
 */
public final class UpstreamModel {
    private static final long REPORT_INTERVAL_MICROS = 500_000;
    /** The delay before answers carry a new measurement. */
    private static final long REPORT_DELAY_MICROS = 250_000;

    /** The share of its work that a request with a warm key needs. */
    private static final double WARM_KEY_WORK = 0.6;

    private static final double SERVICE_TIME_SMOOTHING = 0.1;
    private static final double INITIAL_SERVICE_MS = 30;
    /** How often a node's speed is updated during slow start. */
    private static final long WARM_UP_STEP_MICROS = 50_000;

    private final SiteModel.NodeSpec spec;
    private final SiteModel site;
    private final Host host;
    private final InvariantChecker checker;
    private final SplittableRandom random;
    /** Shared by the nodes of one zone. */
    private final IdempotencyKeyCache executedKeys;

    private final Deque<Job> queue = new ArrayDeque<>();
    private final SharedCores<Job> cores;
    private final OverloadDetector overloadDetector;
    private final WarmKeyCache warmKeys = new WarmKeyCache();
    private long launchedMicros;
    private boolean unresponsive;
    private boolean draining;
    private boolean overloaded;
    private FailureMode failureMode = FailureMode.NONE;
    private double slowdown = 1;
    /** Counts completion timers; only the latest one is valid. */
    private long completionTimers;

    private double busyMicrosAtReport;
    private long reportedMicros;
    private double serviceMs = INITIAL_SERVICE_MS;
    private Measurement visibleReport = new Measurement(0, 0, INITIAL_SERVICE_MS);
    private double acceptedWork;
    private double doneWork;
    private double lostWork;
    private double workAtCores;

    /** The clock and timers of the environment in which a node runs. */
    public interface Host {
        /** Microseconds of a monotonic clock. */
        long now();

        /** Runs a task after a delay. */
        void schedule(long delayMicros, Runnable task);
    }

    /** Sends the answer to a request back to its sender. */
    public interface Reply {
        /** Sends the one answer; never called for a request that is lost. */
        void answer(Answer answer);
    }

    /** The kinds of answer to a request. */
    public enum AnswerKind {
        /** Executed. */
        DONE,
        /** Rejected without execution because the queue is full or the node is draining. */
        REJECTED,
        /** Failed; it may have been executed. */
        ERROR
    }

    /** How a node that still answers fails requests. */
    public enum FailureMode {
        /** It fails no requests. */
        NONE,
        /** It answers with an error at once, without doing any work. */
        FAST,
        /** It answers with an error after all the work; the request has taken effect. */
        SLOW
    }

    /** The state of a node, for display. */
    public enum State {
        UP,
        WARMING_UP,
        DRAINING,
        UNRESPONSIVE,
        /** The node failed because it was overloaded during slow start. */
        OVERLOADED;

        @Override
        public String toString() {
            return name().toLowerCase(Locale.ROOT).replace('_', ' ');
        }
    }

    /** An answer with a load report: core utilisation (0 to 1), requests waiting and in flight, mean service time. */
    public record Answer(AnswerKind kind, double utilisation, int waiting, int active, double serviceMs) {}

    /** A request in the queue or at the cores; {@code work} is what it needs if its key is not warm. */
    private record Job(String id, String key, double work, boolean hasEffect, boolean fails, Reply reply) {}

    /** The content of a load report. */
    private record Measurement(double utilisation, int waiting, double serviceMs) {}

    /** Creates an idle node at full capacity; {@code executedKeys} is shared by the nodes of its zone. */
    public UpstreamModel(
            SiteModel.NodeSpec spec,
            SiteModel site,
            Host host,
            InvariantChecker checker,
            IdempotencyKeyCache executedKeys,
            long seed) {
        this.spec = spec;
        this.site = site;
        this.host = host;
        this.checker = checker;
        this.executedKeys = executedKeys;
        this.random = new SplittableRandom(seed ^ spec.id().hashCode());
        this.cores = new SharedCores<>(spec.cores());
        this.overloadDetector = new OverloadDetector(site);
    }

    /** Starts the load reports, with a random delay before the first one. */
    public void start() {
        reportedMicros = host.now();
        cores.startAt(reportedMicros);
        host.schedule(1 + random.nextLong(REPORT_INTERVAL_MICROS), this::measure);
    }

    // ---- State ---------------------------------------------------------------------------------------

    /** The state, for display. */
    public State state() {
        if (overloaded) {
            return State.OVERLOADED;
        }
        if (unresponsive) {
            return State.UNRESPONSIVE;
        }
        if (draining) {
            return State.DRAINING;
        }
        return warmth() < 1 ? State.WARMING_UP : State.UP;
    }

    /** The node's specification. */
    public SiteModel.NodeSpec spec() {
        return spec;
    }

    /** Requests in the queue and at the cores. */
    public int inFlight() {
        return queue.size() + cores.size();
    }

    /** The utilisation of the cores in the latest visible load report, 0 to 1. */
    public double utilisation() {
        return visibleReport.utilisation();
    }

    /** Moving average of the service time of requests at the cores, without time in the queue. */
    public double serviceMs() {
        return serviceMs;
    }

    /** Core time used since the start; its share of the time of all cores is the true utilisation. */
    public long busyCoreMicros() {
        advance();
        return Math.round(cores.busyMicros());
    }

    /** When the node was last started; 0 for a node that was at full capacity from the beginning. */
    public long launchedAtMicros() {
        return launchedMicros;
    }

    /** Whether the node drains. */
    public boolean draining() {
        return draining;
    }

    /** Whether the node answers nothing. */
    public boolean unresponsive() {
        return unresponsive;
    }

    /** Whether the node answers and is not draining. */
    public boolean acceptsRequests() {
        return !unresponsive && !draining;
    }

    /** Current capacity of all cores, in seconds of work a second. */
    public double currentCapacity() {
        return spec.capacity() * warmth() / slowdown;
    }

    /** Accepted work that is neither done, lost nor in flight; more than a rounding error is a fault of the model. */
    public double unaccountedWork() {
        double inFlightWork = queue.stream().mapToDouble(Job::work).sum() + workAtCores;
        return acceptedWork - doneWork - lostWork - inFlightWork;
    }

    /** The node's current share of its full capacity, which rises during slow start. */
    private double warmth() {
        if (launchedMicros == 0) {
            return 1;
        }
        double warmUpShare = (host.now() - launchedMicros) / 1e3 / site.rules().warmUpMs();
        double startCapacity = site.rules().startCapacity();
        return Math.min(1, startCapacity + (1 - startCapacity) * Math.max(0, warmUpShare));
    }

    // ---- Faults --------------------------------------------------------------------------------------

    /** Stops executing and answering requests; those in flight are lost. */
    public void stopResponding() {
        unresponsive = true;
        loseInFlight();
    }

    /** Restarts the process, with an empty cache, at its address; requests in flight are lost. */
    public void restart() {
        loseInFlight();
        warmKeys.clear();
        overloadDetector.clear();
        unresponsive = false;
        draining = false;
        overloaded = false;
        failureMode = FailureMode.NONE;
        launchedMicros = host.now();
    }

    private void loseInFlight() {
        advance();
        completionTimers++;
        lostWork += queue.stream().mapToDouble(Job::work).sum() + workAtCores;
        workAtCores = 0;
        queue.clear();
        cores.clear();
    }

    /** Starts to reject new requests; those in flight are finished. */
    public void drain() {
        draining = true;
    }

    /** Sets how the node fails requests from now on. */
    public void setFailureMode(FailureMode mode) {
        failureMode = mode;
    }

    /** Makes all work take a multiple of its normal time, including the rest of that in progress. */
    public void slowDown(double factor) {
        advance();
        slowdown = factor;
        scheduleCompletion();
    }

    // ---- Load reports --------------------------------------------------------------------------------

    private void measure() {
        long now = host.now();
        advance();
        double busyMicros = cores.busyMicros() - busyMicrosAtReport;
        double availableMicros = Math.max(1, (now - reportedMicros) * spec.cores());
        Measurement measured = new Measurement(Math.min(1, busyMicros / availableMicros), queue.size(), serviceMs);
        busyMicrosAtReport = cores.busyMicros();
        reportedMicros = now;
        host.schedule(REPORT_DELAY_MICROS, () -> visibleReport = measured);
        host.schedule(REPORT_INTERVAL_MICROS, this::measure);
    }

    private Answer answer(AnswerKind kind) {
        return new Answer(
                kind, visibleReport.utilisation(), visibleReport.waiting(), inFlight(), visibleReport.serviceMs());
    }

    // ---- Requests ------------------------------------------------------------------------------------

    /** Handles a complete request; {@code idempotencyKey} is null for a request without one. */
    public void receive(String id, String key, String idempotencyKey, Reply reply) {
        long now = host.now();
        RequestClassModel requestClass = checker.attemptArrived(id, spec.id(), now);
        if (requestClass == null) {
            reply.answer(answer(AnswerKind.ERROR));
            return;
        }
        double work = requestClass.draw(random);
        checkWarmUpLoad(work, now);
        if (unresponsive) {
            return;
        }
        boolean full = cores.size() >= spec.slots() && queue.size() >= spec.queue();
        if (draining || full) {
            reply.answer(answer(AnswerKind.REJECTED));
            return;
        }
        if (failureMode == FailureMode.FAST) {
            reply.answer(answer(AnswerKind.ERROR));
            return;
        }
        boolean hasEffect = idempotencyKey == null || executedKeys.add(idempotencyKey, now);
        acceptedWork += work;
        queue.add(new Job(id, key, work, hasEffect, failureMode == FailureMode.SLOW, reply));
        startQueued();
    }

    private void checkWarmUpLoad(double work, long nowMicros) {
        double warmth = warmth();
        if (launchedMicros == 0 || warmth >= 1) {
            return;
        }
        double load = overloadDetector.add(work, nowMicros, warmth, spec.capacity());
        checker.warmUpLoad(load);
        if (load > 1 && !overloaded) {
            overloaded = true;
            checker.nodeOverloaded(spec.id());
            stopResponding();
        }
    }

    private void startQueued() {
        advance();
        while (cores.size() < spec.slots() && !queue.isEmpty()) {
            Job job = queue.poll();
            workAtCores += job.work();
            if (job.hasEffect()) {
                checker.attemptExecuted(job.id(), spec.id());
            }
            long now = host.now();
            double work = warmKeys.touch(job.key(), now) ? job.work() * WARM_KEY_WORK : job.work();
            cores.start(job, work, now);
        }
        scheduleCompletion();
    }

    private double coreSpeed() {
        return spec.speed() * warmth() / slowdown;
    }

    private void advance() {
        cores.advance(host.now(), coreSpeed());
    }

    /** Sets a timer for the next completion; earlier timers become invalid. */
    private void scheduleCompletion() {
        long timer = ++completionTimers;
        if (cores.size() == 0) {
            return;
        }
        long delay = cores.microsUntilNextDone(coreSpeed());
        host.schedule(warmth() < 1 ? Math.min(delay, WARM_UP_STEP_MICROS) : delay, () -> {
            if (timer == completionTimers) {
                finishDone();
            }
        });
    }

    private void finishDone() {
        advance();
        cores.removeDone(coreSpeed()).forEach(this::finish);
        startQueued();
    }

    private void finish(SharedCores.Task<Job> task) {
        Job job = task.identity();
        workAtCores -= job.work();
        doneWork += job.work();
        serviceMs += SERVICE_TIME_SMOOTHING * ((host.now() - task.startMicros()) / 1e3 - serviceMs);
        job.reply().answer(answer(job.fails() ? AnswerKind.ERROR : AnswerKind.DONE));
    }
}
