package sedgeyoke.simulation;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import sedgeyoke.model.InvariantChecker;
import sedgeyoke.model.RequestClassModel;
import sedgeyoke.policy.LoadBalancingPolicy.Request;

/**
 * The desks and the front layer before the balancers. Requests come by a rate that follows a curve, wait for no answer,
 * and are dealt out among the balancers of their zone; a dead one is noticed late.
 */
final class SimulatedClients {
    private static final int MOST_RETRIES = 2;
    private static final long UNREACHED_WAIT = 20_000;
    private static final long FIRST_BACKOFF = 60_000;
    private static final long LEAST_LEFT = 10_000;

    private final SimulationContext world;
    /** What is asked for and when is the same for the same seed, whatever becomes of it. */
    private final SplittableRandom arrivals;

    private final SplittableRandom random;
    private final List<List<Front>> zones = new ArrayList<>();
    private final double[] zoneShare;
    private final double perSecond;
    private final double[] keyOf;
    private final TimeSeries tally;
    private boolean asking;
    private long startedAt;
    private double nextAt;
    private long number;
    private long wants;
    private long open;

    /** How a balancer answers. */
    enum Answer {
        SERVED,
        REFUSED,
        FAILED
    }

    /** A balancer as the front of its zone sees it. */
    private static final class Front {
        final SimulatedForwarder forwarder;
        final double weight;
        long deadSince = Long.MAX_VALUE;

        Front(SimulatedForwarder forwarder, double weight) {
            this.forwarder = forwarder;
            this.weight = weight;
        }
    }

    /** Something that a desk wants, with all its tries. */
    private static final class Want {
        final RequestClassModel cls;
        final int classIndex;
        final int zone;
        final long since;
        final String key;
        final String idempotencyKey;
        int tries;

        Want(RequestClassModel cls, int classIndex, int zone, long since, String key, String idempotencyKey) {
            this.cls = cls;
            this.classIndex = classIndex;
            this.zone = zone;
            this.since = since;
            this.key = key;
            this.idempotencyKey = idempotencyKey;
        }
    }

    /** One try of a want, at one balancer. */
    final class Try {
        private final Want want;
        private final String id;
        private boolean ended;

        private Try(Want want, String id) {
            this.want = want;
            this.id = id;
        }

        int zone() {
            return want.zone;
        }

        void answered(Answer answer, long retryAfter) {
            if (ended) {
                return; // its connection had broken
            }
            ended = true;
            open--;
            long now = world.time.now();
            InvariantChecker.Answer how =
                    switch (answer) {
                        case SERVED -> InvariantChecker.Answer.SERVED;
                        case REFUSED -> InvariantChecker.Answer.REJECTED;
                        default -> InvariantChecker.Answer.FAILED;
                    };
            world.checker.requestAnswered(id, how, true, want.since, now);
            tally.answered(want.cls, how, now - want.since, want.since);
            if (answer == Answer.REFUSED) {
                again(want, pause(retryAfter));
            }
        }

        void connectionEnded() {
            if (!ended) {
                ended = true;
                open--;
                world.checker.connectionLost(id, world.time.now());
            }
        }

        private long pause(long retryAfter) {
            long backoff = (long) ((0.5 + random.nextDouble()) * (FIRST_BACKOFF << want.tries - 1));
            return switch (world.scenario.traffic().retries()) {
                case NONE -> -1;
                case AT_ONCE -> 1;
                case BACKOFF -> backoff;
                case RETRY_AFTER -> retryAfter > 0 ? retryAfter : backoff;
            };
        }
    }

    SimulatedClients(SimulationContext world, TimeSeries tally) {
        this.world = world;
        this.tally = tally;
        this.arrivals = world.random.split();
        this.random = world.random.split();
        Scenario.Traffic t = world.scenario.traffic();
        this.zoneShare = t.zoneShare().stream().mapToDouble(Double::doubleValue).toArray();
        world.scenario.site().zones().forEach(z -> zones.add(new ArrayList<>()));
        this.perSecond = t.load() * world.scenario.site().capacity();
        this.keyOf = new double[] {t.keys(), t.skew()};
    }

    void balancer(SimulatedForwarder f) {
        List<Front> zone = zones.get(f.zone());
        zone.add(new Front(f, 1));
        double uneven = world.scenario.traffic().unevenFront();
        for (int i = 0; i < zone.size(); i++) {
            double place = zone.size() == 1 ? 0 : i / (double) (zone.size() - 1);
            zone.set(i, new Front(zone.get(i).forwarder, 1 + uneven * (1 - place)));
        }
    }

    void start() {
        asking = true;
        startedAt = world.time.now();
        nextAt = startedAt;
        next();
    }

    void stop() {
        asking = false;
    }

    long open() {
        return open;
    }

    void zoneLoad(int zone, double factor) {
        zoneShare[zone] *= factor;
    }

    /** The load at a time, as a factor. */
    private double curve() {
        List<Double> points = world.scenario.traffic().curve();
        if (points.size() < 2) {
            return points.isEmpty() ? 1 : points.get(0);
        }
        double at = (world.time.now() - startedAt) / 1e6 / world.scenario.seconds() * (points.size() - 1);
        int left = (int) Math.min(points.size() - 2, at);
        double part = Math.min(1, at - left);
        return points.get(left) + part * (points.get(left + 1) - points.get(left));
    }

    private void next() {
        if (!asking) {
            return;
        }
        int burst = Math.max(1, world.scenario.traffic().burst());
        double all = Arrays.stream(zoneShare).sum();
        double rate = perSecond * curve() * all / burst;
        // kept exactly: cut to whole microseconds, a rate of tens of thousands a second would be some percent too high
        nextAt += -Math.log(1 - arrivals.nextDouble()) * 1e6 / Math.max(rate, 1e-6);
        world.time.after(Math.round(nextAt) - world.time.now(), () -> {
            for (int i = 0; i < burst && asking; i++) {
                arrive(all);
            }
            next();
        });
    }

    private void arrive(double all) {
        List<RequestClassModel> classes = world.scenario.site().classes();
        double x = arrivals.nextDouble();
        int c = 0;
        while (c < classes.size() - 1 && (x -= classes.get(c).share()) >= 0) {
            c++;
        }
        double z = arrivals.nextDouble() * all;
        int zone = 0;
        while (zone < zoneShare.length - 1 && (z -= zoneShare[zone]) >= 0) {
            zone++;
        }
        String key = keyOf[0] <= 0 ? null : "o" + (int) (keyOf[0] * Math.pow(arrivals.nextDouble(), keyOf[1]));
        RequestClassModel cls = classes.get(c);
        world.checker.requestOffered(cls);
        tally.wanted(cls, world.time.now());
        ask(new Want(cls, c, zone, world.time.now(), key, cls.keyed() ? "k" + wants++ : null));
    }

    private void ask(Want want) {
        long now = world.time.now();
        Front front = deal(zones.get(want.zone), now);
        if (front == null) {
            again(want, UNREACHED_WAIT);
            return;
        }
        want.tries++;
        if (!front.forwarder.alive()) { // refused at once
            again(want, UNREACHED_WAIT);
            return;
        }
        String id = Long.toString(number++, 36);
        long left = Math.max(LEAST_LEFT, want.cls.clientTimeoutMs() * 1_000L - (now - want.since));
        left = left / 1_000 * 1_000; // the header has whole milliseconds
        world.checker.requestSent(id, want.cls, want.idempotencyKey, front.forwarder.name(), now, now + left);
        open++;
        Try mine = new Try(want, id);
        Request request = new Request(id, want.classIndex, 0, want.key, 0, left, !want.cls.safe(), want.tries > 1);
        SimulatedForwarder to = front.forwarder;
        world.time.after(world.delay(want.zone, to.zone()), () -> {
            if (to.alive()) {
                to.accept(new SimulatedForwarder.Call(request, want.idempotencyKey, mine));
            } else {
                mine.connectionEnded();
            }
        });
    }

    /** One of the balancers that the front does not know to be dead. */
    private Front deal(List<Front> fronts, long now) {
        double sum = 0;
        for (Front f : fronts) {
            f.deadSince = f.forwarder.takes() ? Long.MAX_VALUE : Math.min(f.deadSince, now);
            sum += usable(f, now) ? f.weight : 0;
        }
        double x = random.nextDouble() * sum;
        Front last = null;
        for (Front f : fronts) {
            if (usable(f, now)) {
                last = f;
                x -= f.weight;
                if (x < 0) {
                    break;
                }
            }
        }
        return last;
    }

    private boolean usable(Front f, long now) {
        return f.deadSince == Long.MAX_VALUE
                || now - f.deadSince < world.scenario.network().noticeMs() * 1_000;
    }

    private void again(Want want, long delay) {
        long left = want.cls.clientTimeoutMs() * 1_000L - (world.time.now() - want.since) - delay;
        if (delay >= 0 && want.tries <= MOST_RETRIES && left > LEAST_LEFT) {
            world.time.after(delay, () -> ask(want));
        }
    }
}
