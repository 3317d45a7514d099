package sedgeyoke.plan;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.LongFunction;
import sedgeyoke.lease.LeaseClock;
import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.policy.LoadBalancingPolicy.ColdRight;
import sedgeyoke.policy.SlowStartBucket;
import sedgeyoke.simulation.SeededNetwork;

/**
 * Planners and forwarders on one thread, with a network, clocks and processes that fail by seed. At every step it
 * checks that nobody together holds more rights on a cold node than there are, and that no window brings it more than
 * its budget. Forwarders are greedy: they spend whatever their buckets hold, at once or saved up.
 */
final class PlanSimulation extends SeededNetwork {
    static final long LEASE = 1_500_000;
    static final long FALL = 1_500_000;
    static final long COLD = 9_000_000;
    static final int DRIFT_PPM = 2_000;
    private static final long REPORT_EVERY = 200_000;
    private static final int PLANNERS = 3;
    private static final int FORWARDERS = 6;
    private static final int NODES = 2;
    private static final double BASE = 10;

    /** What may be wrong on purpose. */
    static final class Faults {
        LongFunction<LeaseClock> terms = LeaseClock::new;
        java.util.function.Function<LeaseClock, SlowStartQuotaPool> pool = SlowStartQuotaPool::new;
        BiFunction<Follower.Identity, Long, Follower> follower =
                (self, now) -> new Follower(self, new LeaseClock(DRIFT_PPM), now);
        BiFunction<Planner.Settings, LeaseClock, Planner> planner;
        long saveFor = FALL;
    }

    private final Faults faults;
    private final List<PlannerBox> planners = new ArrayList<>();
    private final List<ForwarderBox> forwarders = new ArrayList<>();
    private final long[] launchedAt = new long[NODES];
    private final List<Deque<double[]>> spent = new ArrayList<>();
    private final double leastGrant;
    private long incarnations = 1;
    private long savingUntil;
    /** How much of all rights was in grants at most: a simulation in which nothing moves shows nothing. */
    double mostGranted;

    double worstWindow;
    int restarts;

    PlanSimulation(long seed, Faults faults) {
        super(seed);
        this.faults = faults;
        this.leastGrant = random.nextDouble() * 15;
        for (int i = 0; i < PLANNERS; i++) {
            planners.add(new PlannerBox());
        }
        for (int i = 0; i < FORWARDERS; i++) {
            forwarders.add(new ForwarderBox());
        }
        for (int i = 0; i < NODES; i++) {
            spent.add(new ArrayDeque<>());
            launchedAt[i] = -COLD;
        }
    }

    /** Plays so many seconds; returns what was broken, or null. */
    String play(int seconds) {
        return runUntil(seconds * 1_000_000L);
    }

    private Process box(int number) {
        return number < PLANNERS ? planners.get(number) : forwarders.get(number - PLANNERS);
    }

    @Override
    protected void injectFaults() {
        if (now > savingUntil + 2 * FALL && happens(1)) {
            savingUntil = now + random.nextLong(3 * FALL); // then all of them spend at once, and go on
        }
        for (int n = 0; n < NODES; n++) {
            if (happens(0.12)) {
                launchedAt[n] = now;
                long news = launchedAt[n];
                for (ForwarderBox f : forwarders) {
                    f.news.add(new long[] {now + random.nextLong(2_000_000), n, news});
                }
            }
        }
        for (int i = 0; i < PLANNERS + FORWARDERS; i++) {
            Process b = box(i);
            if (happens(severity * 0.12)) {
                b.crash(now + random.nextLong(random.nextBoolean() ? 100_000 : 2_000_000));
                restarts++;
            } else if (happens(severity * 0.06)) {
                b.pausedUntil = now + (random.nextInt(4) == 0 ? 6_000_000 : random.nextLong(1_500_000));
            }
        }
        if (happens(severity * 0.8)) {
            toggleLink(random.nextInt(PLANNERS + FORWARDERS), random.nextInt(PLANNERS + FORWARDERS));
        }
        if (happens(0.5)) {
            heal();
        }
    }

    private final class PlannerBox extends Process {
        private Planner planner;
        private long nextPlan;

        PlannerBox() {
            super(DRIFT_PPM);
            start();
        }

        @Override
        protected void start() {
            LeaseClock terms = faults.terms.apply(DRIFT_PPM);
            Planner.Settings self = new Planner.Settings("p" + number, incarnations++, 100, 100);
            planner = faults.planner == null
                    ? new Planner(self, terms, faults.pool.apply(terms))
                    : faults.planner.apply(self, terms);
            nextPlan = clock();
        }

        @Override
        protected void handle(Object body) {
            planner.report(clock(), (ForwarderReport) body);
        }

        @Override
        protected void step() {
            if (clock() >= nextPlan) {
                nextPlan = clock() + REPORT_EVERY;
                for (Planner.Out out : planner.plan(clock())) {
                    PlanSimulation.this.send(
                            number, Integer.parseInt(out.forwarder().substring(1)), out.message());
                }
            }
        }
    }

    private final class ForwarderBox extends Process {
        private final List<long[]> news = new ArrayList<>();
        private final long[] believes = new long[NODES];
        private SlowStartBucket[] buckets;
        private Follower follower;
        private LoadBalancingPolicy.Plan plan;
        private long nextReport;

        ForwarderBox() {
            super(DRIFT_PPM);
            start();
        }

        @Override
        protected void start() {
            follower = faults.follower.apply(
                    new Follower.Identity("f" + number, incarnations++, 0, LEASE, 4_000_000, leastGrant), clock());
            buckets = new SlowStartBucket[NODES];
            for (int n = 0; n < NODES; n++) {
                buckets[n] = new SlowStartBucket(0, clock());
            }
            plan = follower.plan(clock());
            nextReport = clock() + random.nextLong(REPORT_EVERY);
        }

        @Override
        protected void handle(Object body) {
            follower.heard(clock(), (PlanMessage) body);
            install();
        }

        private boolean cold(int n) {
            return believes[n] > 0 && now - believes[n] < COLD;
        }

        private ColdRight right(int n) {
            return plan.right("n" + n, believes[n]);
        }

        private void refill(int n) {
            buckets[n].refill(clock(), BASE / 1e6, right(n), plan.quietUntil(), faults.saveFor, 0);
        }

        private void install() {
            settle();
            plan = follower.plan(clock());
            settle();
        }

        private void settle() {
            for (int n = 0; n < NODES; n++) {
                if (cold(n)) {
                    refill(n);
                }
            }
        }

        @Override
        protected void step() {
            news.removeIf(x -> {
                boolean due = x[0] <= now;
                if (due && x[2] > believes[(int) x[1]]) {
                    believes[(int) x[1]] = x[2];
                    buckets[(int) x[1]] = new SlowStartBucket(0, clock());
                }
                return due;
            });
            if (clock() >= nextReport) {
                nextReport = clock() + REPORT_EVERY;
                report();
            }
            for (int n = 0; n < NODES; n++) {
                if (cold(n)) {
                    refill(n);
                    if (now > savingUntil && buckets[n].tokens() > 0) {
                        spent.get(n).add(new double[] {now, buckets[n].tokens()});
                        buckets[n].spend(buckets[n].tokens());
                    }
                }
            }
        }

        private void report() {
            List<LoadBalancingPolicy.Standing> standings = new ArrayList<>();
            for (int n = 0; n < NODES; n++) {
                standings.add(new LoadBalancingPolicy.Standing(
                        "n" + n,
                        0,
                        LoadBalancingPolicy.State.READY,
                        believes[n],
                        1,
                        now / 10_000,
                        1,
                        3,
                        0.5,
                        0,
                        clock(),
                        false,
                        cold(n) ? BASE : 0));
            }
            LoadBalancingPolicy.Summary summary =
                    new LoadBalancingPolicy.Summary(List.of(10.0 + random.nextInt(30)), standings, 0);
            Map<Integer, ForwarderReport> reports = new HashMap<>();
            for (PlannerBox p : planners) {
                reports.put(p.number, follower.report(clock(), "p" + p.number, summary));
            }
            install(); // before anyone can hear of what is lent
            reports.forEach((to, report) -> PlanSimulation.this.send(number, to, report));
        }

        /** What it could spend on a node at this moment, by its own clock. */
        double[] rights(int n) {
            if (crashed || !cold(n)) {
                return new double[2];
            }
            ColdRight right = right(n);
            long at = clock();
            boolean own = at >= plan.quietUntil() && (right == null || at >= right.lentUntil());
            double granted = right == null
                    ? 0
                    : right.grants().stream()
                            .filter(g -> at < g.until())
                            .mapToDouble(LoadBalancingPolicy.ColdGrant::rate)
                            .sum();
            return new double[] {own ? BASE : 0, granted};
        }
    }

    @Override
    protected void check() {
        double all = FORWARDERS * BASE;
        for (int n = 0; n < NODES; n++) {
            double own = 0;
            double granted = 0;
            for (ForwarderBox f : forwarders) {
                own += f.rights(n)[0];
                granted += f.rights(n)[1];
            }
            mostGranted = Math.max(mostGranted, granted / all);
            if (own + granted > all * (1 + 1e-9)) {
                violation = String.format(
                        "at %.2f s node %d: own %.1f + granted %.1f of %.1f", now / 1e6, n, own, granted, all);
            }
            Deque<double[]> window = spent.get(n);
            while (!window.isEmpty() && window.peek()[0] <= now - FALL) {
                window.poll();
            }
            double sum = window.stream().mapToDouble(s -> s[1]).sum();
            double budget = 2 * all * FALL / 1e6 * (1 + 3 * DRIFT_PPM / 1e6) + all * STEP_MICROS / 1e6;
            worstWindow = Math.max(worstWindow, sum / budget);
            if (sum > budget) {
                violation =
                        String.format("at %.2f s node %d: spent %.1f of %.1f in a window", now / 1e6, n, sum, budget);
            }
        }
    }
}
