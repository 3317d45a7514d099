package sedgeyoke.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntConsumer;
import java.util.function.ToLongFunction;
import sedgeyoke.model.InvariantChecker;

/** One run of a scenario with one seed: builds all parts, advances virtual time, and collects the results. */
public final class Simulation {
    private static final long SECOND = 1_000_000;
    /** Time after the stop of the clients within which all open requests end. */
    private static final long COOL_DOWN_MICROS = 4 * SECOND;
    /** Makes the seeds of the forwarders of different runs differ. */
    private static final long SEED_FACTOR = 1_000_003;

    private final SimulationContext context;
    private final long seed;
    private final SimulatedUpstreams upstreams;
    private final TimeSeries timeSeries;
    private final SlowStartMeasure slowStart;
    private final UtilisationSampler utilisation;
    private final SimulatedClients clients;
    private final FaultInjector faults;
    private final List<SimulatedForwarder> forwarders = new ArrayList<>();
    private final List<SimulatedPlanner> planners = new ArrayList<>();

    /** Builds all parts of a run; virtual time does not move yet. */
    public Simulation(Scenario scenario, long seed) {
        this.seed = seed;
        this.context = new SimulationContext(scenario, seed);
        SimulatedDiscovery discovery = new SimulatedDiscovery(context);
        this.upstreams = new SimulatedUpstreams(context, discovery, seed);
        this.timeSeries = new TimeSeries(SimulationContext.START, scenario.warmUpSeconds());
        this.slowStart = new SlowStartMeasure(context, upstreams);
        this.utilisation = new UtilisationSampler(upstreams);
        this.clients = new SimulatedClients(context, timeSeries);
        for (int number = 0; number < scenario.planners().count(); number++) {
            planners.add(new SimulatedPlanner(context, number));
        }
        addForwarders(discovery);
        this.faults = new FaultInjector(context, upstreams, discovery, clients, forwarders, planners);
    }

    /** Numbers the forwarders in turn across zones, as the platform does. */
    private void addForwarders(SimulatedDiscovery discovery) {
        Scenario scenario = context.scenario;
        for (int round = 0; forwarders.size() < scenario.totalForwarders(); round++) {
            for (int zone = 0; zone < scenario.forwarders().size(); zone++) {
                if (round < scenario.forwarders().get(zone)) {
                    addForwarder(discovery, zone);
                }
            }
        }
    }

    private void addForwarder(SimulatedDiscovery discovery, int zone) {
        int position = forwarders.size();
        SimulatedForwarder forwarder = new SimulatedForwarder(
                context,
                upstreams,
                discovery,
                new SimulatedForwarder.Spec("b" + position, zone, seed * SEED_FACTOR + position),
                PolicySettings.of(context.scenario, zone, position),
                BaselinePolicies.factory(context.scenario.policy()),
                planners);
        forwarders.add(forwarder);
        clients.addForwarder(forwarder);
    }

    /** Runs the scenario to its end. */
    public SimulationResult run() {
        return run(second -> {});
    }

    /** Runs the scenario to its end; {@code progress} is called after each second of virtual time. */
    public SimulationResult run(IntConsumer progress) {
        start();
        Scenario scenario = context.scenario;
        int wholeSeconds = (int) Math.ceil(scenario.seconds());
        for (int second = 1; second <= wholeSeconds; second++) {
            double untilSeconds = Math.min(second, scenario.seconds());
            context.events.runUntil(SimulationContext.START + (long) (untilSeconds * SECOND));
            utilisation.sample(second > scenario.warmUpSeconds());
            progress.accept(second);
        }
        clients.stop();
        advance(COOL_DOWN_MICROS);
        return result();
    }

    /** Starts all parts; virtual time does not move yet. */
    void start() {
        planners.forEach(SimulatedPlanner::start);
        forwarders.forEach(SimulatedForwarder::start);
        context.scenario.faults().forEach(faults::schedule);
        context.events.schedule(0, clients::start);
        sampleSlowStart();
    }

    private void sampleSlowStart() {
        slowStart.sample();
        context.events.schedule(SlowStartMeasure.INTERVAL_MICROS, this::sampleSlowStart);
    }

    /** Advances virtual time. */
    void advance(long micros) {
        context.events.runUntil(context.events.now() + micros);
    }

    private SimulationResult result() {
        InvariantChecker.Summary summary = context.checker.summary();
        return new SimulationResult(
                seed,
                timeSeries.service(),
                summary.requests(),
                sumOfForwarders(forwarder -> forwarder.transport().attempts()),
                sumOfForwarders(forwarder -> forwarder.transport().handshakes()),
                sumOfForwarders(forwarder -> forwarder.transport().crossZoneAttempts()),
                timeSeries.latency(),
                summary.answers(),
                summary.violations(),
                context.checker.violationMessages(),
                summary.warmUpPeak(),
                slowStart.durationsSeconds(),
                utilisation.mean(context.scenario.warmUpSeconds()),
                timeSeries.seconds(),
                utilisation.byUpstream(),
                context.events.processed());
    }

    private long sumOfForwarders(ToLongFunction<SimulatedForwarder> count) {
        return forwarders.stream().mapToLong(count).sum();
    }

    // ---- State that tests check ----------------------------------------------------------------------

    long openAtClients() {
        return clients.openRequests();
    }

    long openAtForwarders() {
        return sumOfForwarders(SimulatedForwarder::unansweredExchanges);
    }

    /** The largest amount of accepted work that any upstream does not account for; should be 0 but for rounding. */
    double unaccountedWork() {
        return upstreams.all().stream()
                .mapToDouble(upstream -> Math.abs(upstream.model().unaccountedWork()))
                .max()
                .orElse(0);
    }

    long upstreamsWithAtLeast(int requestsInFlight) {
        return upstreams.all().stream()
                .filter(upstream -> upstream.model().inFlight() >= requestsInFlight)
                .count();
    }

    int minConnections() {
        return upstreams.all().stream()
                .mapToInt(SimulatedUpstream::connections)
                .min()
                .orElse(0);
    }

    int maxConnections() {
        return upstreams.all().stream()
                .mapToInt(SimulatedUpstream::connections)
                .max()
                .orElse(0);
    }

    void stopClients() {
        clients.stop();
    }
}
