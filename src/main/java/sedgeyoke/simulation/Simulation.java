package sedgeyoke.simulation;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import sedgeyoke.model.RequestClassModel;
import sedgeyoke.model.SiteModel;
import sedgeyoke.model.UpstreamModel;
import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.policy.LoadBalancingPolicy.Effect;
import sedgeyoke.policy.LoadBalancingPolicy.RequestClass;
import sedgeyoke.policy.LoadBalancingPolicy.Scope;

/** One run of a scenario. */
public final class Simulation {
    private static final long SECOND = 1_000_000;
    /** After the clients' last request, until all that is open must have ended. */
    private static final double AFTERWARDS = 4;
    /** A forwarder that is started again takes so long before it takes requests, as the program does. */
    private static final long START_UP = 1_200_000;
    /** SIGKILL comes so long after SIGTERM at the latest: the longest deadline that counts, and 0.7 s. */
    private static final long KILLED_AFTER = 3_700_000;

    private static final long LONGEST_RETRY_AFTER = 1_200_000;

    private final SimulationContext world;
    private final long seed;
    private final SimulatedUpstreams fleet;
    private final TimeSeries tally;
    private final SlowStartMeasure warming;
    private final SimulatedClients clients;
    private final List<SimulatedForwarder> forwarders = new ArrayList<>();
    private final List<SimulatedPlanner> planners = new ArrayList<>();
    private final Map<String, List<Double>> utilisation = new LinkedHashMap<>();
    private final Map<String, Long> worked = new LinkedHashMap<>();
    private double workedShare;
    private int lookedAt;

    /** Sets it up; nothing has happened yet. */
    public Simulation(Scenario scenario, long seed) {
        this.seed = seed;
        this.world = new SimulationContext(scenario, seed);
        this.fleet = new SimulatedUpstreams(world, seed);
        this.tally = new TimeSeries(SimulationContext.START, scenario.warmUp());
        this.warming = new SlowStartMeasure(world, fleet);
        this.clients = new SimulatedClients(world, tally);
        for (int p = 0; p < scenario.planners().count(); p++) {
            planners.add(new SimulatedPlanner(world, p));
        }
        int position = 0;
        int zones = scenario.site().zones().size();
        int[] left = scenario.forwarders().stream().mapToInt(Integer::intValue).toArray();
        while (Arrays.stream(left).sum() > 0) { // by turns of the zones, as the platform numbers them
            for (int z = 0; z < zones; z++) {
                if (left[z]-- > 0) {
                    SimulatedForwarder f = new SimulatedForwarder(
                            world,
                            fleet,
                            new SimulatedForwarder.Spec("b" + position, z, position, seed * 1_000_003 + position),
                            settings(scenario, z, position++),
                            BaselinePolicies.maker(scenario.policy()),
                            planners);
                    forwarders.add(f);
                    clients.balancer(f);
                } else {
                    left[z] = 0;
                }
            }
        }
    }

    static LoadBalancingPolicy.Settings settings(Scenario scenario, int zone, int position) {
        SiteModel site = scenario.site();
        List<RequestClass> classes = new ArrayList<>();
        for (RequestClassModel c : site.classes()) {
            Effect effect =
                    c.repeat().equals("free") ? Effect.SAFE : c.keyed() ? Effect.IDEMPOTENT_WITH_KEY : Effect.UNSAFE;
            classes.add(new RequestClass(
                    c.aimMs() * 1_000L,
                    0,
                    c.giveUpMs() * 1_000L,
                    c.worth(),
                    0,
                    effect,
                    c.keyed() ? Scope.ZONE : Scope.ALL,
                    2_500_000,
                    false));
        }
        SiteModel.RuleSpec r = site.rules();
        return new LoadBalancingPolicy.Settings(
                zone,
                site.zones().size(),
                position,
                scenario.tier(),
                classes,
                List.of(),
                1,
                false,
                new LoadBalancingPolicy.Limits(
                        4,
                        true,
                        false,
                        true,
                        false,
                        20_000,
                        site.retryAfter(),
                        LONGEST_RETRY_AFTER,
                        120_000,
                        10 * SECOND,
                        1),
                new LoadBalancingPolicy.PlatformRules(
                        20_000,
                        10 * SECOND,
                        r.startCapacity(),
                        r.coldMs() * 1_000,
                        r.drainGraceMs() * 1_000,
                        r.fallMultiple(),
                        r.fallMs() * 1_000),
                new LoadBalancingPolicy.Prices(0.06, 0.02, 0, 0.05, 0),
                LoadBalancingPolicy.Reports.IN_RESPONSES,
                LoadBalancingPolicy.Ratings.NONE,
                false,
                scenario.traffic().keys() > 0,
                5_000);
    }

    /** Plays it to its end. */
    public Outcome run() {
        return run(second -> {});
    }

    /** Plays it to its end, and says after each second which it was. */
    public Outcome run(IntConsumer progress) {
        begin();
        Scenario s = world.scenario;
        int whole = (int) Math.ceil(s.seconds());
        for (int second = 1; second <= whole; second++) {
            world.time.runUntil(SimulationContext.START + (long) (Math.min(second, s.seconds()) * SECOND));
            measure(second > s.warmUp());
            progress.accept(second);
        }
        clients.stop();
        world.time.runUntil(world.time.now() + (long) (AFTERWARDS * SECOND));
        return outcome();
    }

    /** Starts everything; time has not moved yet. */
    void begin() {
        planners.forEach(SimulatedPlanner::start);
        forwarders.forEach(SimulatedForwarder::start);
        world.scenario.faults().forEach(this::plan);
        world.time.after(0, clients::start);
        look();
    }

    private void look() {
        warming.look();
        world.time.after(SlowStartMeasure.EVERY, this::look);
    }

    /** Plays on for so many microseconds; for tests that look at each step. */
    void play(long time) {
        world.time.runUntil(world.time.now() + time);
    }

    /** What is open at clients and balancers, and work that the books of some node have lost: both for tests. */
    long openAtClients() {
        return clients.open();
    }

    long openAtForwarders() {
        return forwarders.stream().mapToLong(SimulatedForwarder::owed).sum();
    }

    double unaccountedWork() {
        return fleet.all().stream()
                .mapToDouble(m -> Math.abs(m.model.unaccounted()))
                .max()
                .orElse(0);
    }

    /** Nodes with so many requests waiting or at work, at least. */
    long nodesWithAtLeast(int requests) {
        return fleet.all().stream().filter(m -> m.model.inFlight() >= requests).count();
    }

    int leastConnections() {
        return fleet.all().stream().mapToInt(m -> m.connections).min().orElse(0);
    }

    int mostConnections() {
        return fleet.all().stream().mapToInt(m -> m.connections).max().orElse(0);
    }

    void stopClients() {
        clients.stop();
    }

    private void measure(boolean counts) {
        double sum = 0;
        double cores = 0;
        for (SimulatedUpstream m : fleet.all()) {
            long now = m.model.worked();
            long before = worked.getOrDefault(m.id(), 0L);
            worked.put(m.id(), now);
            List<Double> row = utilisation.computeIfAbsent(m.id(), id -> new ArrayList<>());
            while (row.size() < lookedAt) {
                row.add(-1.0);
            }
            boolean there = !m.gone && !m.model.silent();
            row.add(there ? (now - before) / (double) (SECOND * m.model.spec().cores()) : -1);
            sum += now - before;
            cores += there ? m.model.spec().cores() : 0;
        }
        lookedAt++;
        workedShare += counts && cores > 0 ? sum / SECOND / cores : 0;
    }

    private Outcome outcome() {
        var summary = world.ledger.summary();
        List<Outcome.Second> seconds = tally.seconds().stream()
                .map(s -> new Outcome.Second(
                        s.asked == 0 ? 1 : s.served / s.asked,
                        s.wanted,
                        s.refused,
                        s.failed,
                        s.answered == 0 ? 0 : s.tookSum / s.answered / 1e3,
                        s.tookMost / 1e3))
                .toList();
        int counted = Math.max(1, lookedAt - (int) Math.floor(world.scenario.warmUp()));
        return new Outcome(
                seed,
                tally.service(),
                summary.requests(),
                forwarders.stream().mapToLong(f -> f.attempts).sum(),
                forwarders.stream().mapToLong(f -> f.handshakes).sum(),
                forwarders.stream().mapToLong(f -> f.crossings).sum(),
                tally.latency(),
                summary.answers(),
                summary.violations(),
                world.ledger.violations(),
                summary.coldPeak(),
                warming.seconds(),
                workedShare / counted,
                seconds,
                utilisation,
                world.time.done());
    }

    // ---- Faults --------------------------------------------------------------------------------------

    private void plan(Scenario.Fault f) {
        for (int i = 0; i < Math.max(1, f.count()); i++) {
            int number = i;
            world.time.after((long) ((f.at() + i * f.every()) * SECOND), () -> strike(f, number));
        }
    }

    private void strike(Scenario.Fault f, int number) {
        int who = f.who() < 0 ? -1 : f.who() + number;
        long lasts = (long) (f.lasts() * SECOND);
        switch (f.kind()) {
            case RESTART_NODE -> node(who, fleet::restart);
            case DRAIN_NODE -> node(who, m -> fleet.drain(m, (long) (f.value() * SECOND)));
            case VANISH_NODE -> node(who, m -> {
                fleet.vanish(m);
                later(lasts, () -> fleet.restart(m));
            });
            case LOSE_ZONE, CUT_ZONE, LOSE_ANSWERS, RESET_CONNECTIONS -> network(f, who, lasts);
            case REPLACE_NODE -> node(who, m -> fleet.replace(m, false));
            case REPLACE_NODE_IN_PLACE -> node(who, m -> fleet.replace(m, true));
            case SLOW_NODE -> node(who, m -> {
                m.model.slow(f.value());
                later(lasts, () -> m.model.slow(1));
            });
            case ERRORS_FAST, ERRORS_SLOW -> node(who, m -> {
                m.model.fail(
                        f.kind() == Scenario.Kind.ERRORS_FAST
                                ? UpstreamModel.Failing.FAST
                                : UpstreamModel.Failing.SLOW);
                later(lasts, () -> m.model.fail(UpstreamModel.Failing.NOT));
            });
            case ZONE_LOAD -> {
                int zone = pick(who, zones());
                clients.zoneLoad(zone, f.value());
                later(lasts, () -> clients.zoneLoad(zone, 1 / f.value()));
            }
            case DISCOVERY_DOWN -> {
                fleet.discoveryDown(true);
                later(lasts, () -> fleet.discoveryDown(false));
            }
            case KILL_FORWARDER -> {
                SimulatedForwarder it = forwarders.get(pick(who, forwarders.size()));
                if (it.alive()) {
                    it.kill();
                    later(lasts == 0 ? 0 : lasts + START_UP, it::revive);
                }
            }
            case RESTART_FORWARDER -> {
                SimulatedForwarder it = forwarders.get(pick(who, forwarders.size()));
                it.leave(KILLED_AFTER, () -> later(START_UP, it::revive));
            }
            case PAUSE_FORWARDER -> forwarders.get(pick(who, forwarders.size())).pause(world.time.now() + lasts);
            default -> planner(f, who, lasts);
        }
    }

    private void network(Scenario.Fault f, int who, long lasts) {
        switch (f.kind()) {
            case LOSE_ZONE -> fleet.zone(pick(who, zones())).forEach(m -> {
                fleet.vanish(m);
                later(lasts, () -> fleet.restart(m));
            });
            case CUT_ZONE -> {
                int zone = pick(who, zones());
                world.cut(zone, true);
                later(lasts, () -> world.cut(zone, false));
            }
            case LOSE_ANSWERS -> {
                world.lostAnswers = f.value();
                later(lasts, () -> world.lostAnswers = 0);
            }
            case RESET_CONNECTIONS -> {
                world.resetConnections = f.value();
                later(lasts, () -> world.resetConnections = 0);
            }
            default -> throw new IllegalStateException(f.kind().toString());
        }
    }

    private void planner(Scenario.Fault f, int who, long lasts) {
        if (planners.isEmpty()) {
            return; // the same scenario is played without any
        }
        SimulatedPlanner p = planners.get(pick(who, planners.size()));
        long until = world.time.now() + lasts;
        switch (f.kind()) {
            case KILL_PLANNER -> {
                if (p.alive()) {
                    p.kill();
                    later(lasts, p::start);
                }
            }
            case PAUSE_PLANNER -> p.pause(until);
            case CUT_PLANNER_OUT -> p.mute(until);
            case CUT_PLANNER_IN -> p.deaf(until);
            default -> throw new IllegalStateException(f.kind().toString());
        }
    }

    private void later(long lasts, Runnable what) {
        if (lasts > 0) {
            world.time.after(lasts, what);
        }
    }

    private int zones() {
        return world.scenario.site().zones().size();
    }

    private int pick(int who, int among) {
        return who < 0 ? world.faults.nextInt(among) : Math.floorMod(who, among);
    }

    /** Of those that run and are in the list; by number they keep the order in which they came. */
    private void node(int who, Consumer<SimulatedUpstream> what) {
        List<SimulatedUpstream> running = who < 0 ? fleet.running() : fleet.all();
        if (!running.isEmpty()) {
            SimulatedUpstream m = running.get(pick(who, running.size()));
            if (!m.gone) {
                what.accept(m);
            }
        }
    }
}
