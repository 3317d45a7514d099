package sedgeyoke.drill;

import static sedgeyoke.drill.PlannersDrill.round;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.BrokenBarrierException;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BiConsumer;
import sedgeyoke.model.InvariantChecker;
import sedgeyoke.standin.FaultProxy;
import sedgeyoke.standin.Site;

/** One run of a {@link PlannersDrill}: starts a tier, injects the faults and returns what clients observed. */
final class PlannersRun {
    private static final int PLANNERS = 3;
    private static final int FORWARDERS = 6;
    private static final int NODES = 12;
    private static final double[] ZONE_SHARES = {0.4, 0.3, 0.3};
    /** How much the traffic of a zone grows in an overload, as a share of its usual traffic. */
    private static final double OVERLOAD = 1.1;

    private static final int START_TIMEOUT_SECONDS = 90;
    private static final int WARM_UP_MS = 3_000;
    private static final long DISCOVERY_DELAY_MS = 300;
    private static final long DISCOVERY_DELAY_STEP_MS = 250;

    private final PlannersDrill.Mode mode;
    private final PlannersDrill.Options options;
    private final CyclicBarrier allStarted;
    private final BiConsumer<PlannersDrill.Mode, String> progress;
    private final List<ProgramProcess> planners = new ArrayList<>();
    private final List<ProgramProcess> forwarders = new ArrayList<>();
    /** For each forwarder, the proxies on its connections to the planners. */
    private final List<List<FaultProxy>> proxies = new ArrayList<>();

    PlannersRun(
            PlannersDrill.Mode mode,
            PlannersDrill.Options options,
            CyclicBarrier allStarted,
            BiConsumer<PlannersDrill.Mode, String> progress) {
        this.mode = mode;
        this.options = options;
        this.allStarted = allStarted;
        this.progress = progress;
    }

    /**
     * The result of a run.
     *
     * @param utilisation true utilisation of the nodes during the measured time
     * @param checkerStalledMs how long the event loop of the invariant checker was stalled
     * @param violations descriptions of the first violations
     */
    record Result(
            InvariantChecker.Summary summary,
            double utilisation,
            double checkerStalledMs,
            int plannerKills,
            List<String> violations) {}

    Result run() throws IOException, InterruptedException {
        try (DrillFolder folder = new DrillFolder("planners")) {
            try (Site site = new Site(Sites.orders(NODES), ZONE_SHARES, options.seed())) {
                startTier(site, new TierProcesses(folder.path()));
                awaitOtherRuns();
                Thread.sleep(WARM_UP_MS); // until the plans take full effect in forwarders
                return measure(site);
            } finally { // stops the processes before their folder is deleted
                planners.forEach(ProgramProcess::close);
                forwarders.forEach(ProgramProcess::close);
            }
        }
    }

    private Result measure(Site site) throws IOException, InterruptedException {
        long busyMicrosBefore = site.busyCoreMicros();
        long startMicros = site.now();
        PlannerFaults faults = new PlannerFaults(planners, proxies, options);
        playScript(site, faults);
        double utilisation = site.utilisationSince(busyMicrosBefore, startMicros);
        site.stopClients();
        InvariantChecker.Summary summary = site.summary();
        progress.accept(mode, describe(summary, utilisation));
        List<String> violations = site.ask(site.checker()::violationMessages);
        violations.forEach(violation -> System.err.println(mode.label() + ": " + violation));
        proxies.forEach(ways -> ways.forEach(FaultProxy::close));
        double checkerStalledMs = site.ask(site.checker()::stalledMs);
        return new Result(summary, utilisation, checkerStalledMs, faults.kills(), violations);
    }

    private void startTier(Site site, TierProcesses tier) throws IOException, InterruptedException {
        List<Integer> plannerPorts = new ArrayList<>();
        for (int i = 0; mode != PlannersDrill.Mode.NONE && i < PLANNERS; i++) {
            plannerPorts.add(ProgramProcess.freePort());
            planners.add(tier.planner("p" + i, plannerPorts.get(i)));
            planners.get(i).start();
        }
        for (int i = 0; i < FORWARDERS; i++) {
            startForwarder(i, site, tier, plannerPorts);
        }
        for (int i = 0; i < FORWARDERS; i++) {
            site.balancer(
                    forwarderName(i),
                    zone(i),
                    Loopback.address(forwarders.get(i).port()));
        }
        for (ProgramProcess planner : planners) {
            planner.port(); // waits until it listens
        }
    }

    private void startForwarder(int index, Site site, TierProcesses tier, List<Integer> plannerPorts)
            throws IOException {
        List<FaultProxy> ways = plannerPorts.stream()
                .map(port -> new FaultProxy(site.loop(), 0, Loopback.address(port)))
                .toList();
        proxies.add(ways);
        String configuration = TierProcesses.configuration(
                site,
                forwarderName(index),
                zone(index),
                index,
                FORWARDERS,
                DISCOVERY_DELAY_MS + DISCOVERY_DELAY_STEP_MS * index,
                options.seed() * 31 + index);
        List<Integer> proxyPorts =
                ways.stream().map(proxy -> proxy.address().getPort()).toList();
        ProgramProcess forwarder = tier.forwarder(forwarderName(index), configuration, proxyPorts);
        forwarders.add(forwarder);
        forwarder.start();
    }

    private static String forwarderName(int index) {
        return "b" + index;
    }

    private static int zone(int forwarder) {
        return forwarder % ZONE_SHARES.length;
    }

    private static String describe(InvariantChecker.Summary summary, double utilisation) {
        return "service " + round(summary.service()) + ", answers " + summary.answers() + ", p99 "
                + round(summary.p99Ms()) + " ms, cold peak " + round(summary.warmUpPeak()) + ", rules "
                + summary.violations() + ", utilisation " + round(utilisation);
    }

    /** Waits until all runs have started: they share the machine, and starting one would disturb another. */
    private void awaitOtherRuns() throws InterruptedException, IOException {
        try {
            allStarted.await(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (BrokenBarrierException | TimeoutException e) {
            throw new IOException("another run did not start", e);
        }
    }

    /** Generates the traffic and the node faults, which depend on the seed alone and so are the same in all runs. */
    private void playScript(Site site, PlannerFaults plannerFaults) throws IOException, InterruptedException {
        SplittableRandom random = new SplittableRandom(options.seed());
        int drained = random.nextInt(NODES);
        int first = (drained + 1 + random.nextInt(NODES - 1)) % NODES;
        int second = (drained + 1 + random.nextInt(NODES - 1)) % NODES;
        int overloadedZone = random.nextInt(ZONE_SHARES.length);
        double usualShare = ZONE_SHARES[overloadedZone];
        DrillClock clock = new DrillClock(options.seconds());
        site.startClients(options.load() * site.spec().capacity());
        for (; clock.running(); clock.advance()) {
            if (clock.at(0.15) || clock.at(0.8)) {
                site.injectFault(nodeName(first), Site.Fault.RESTART);
            } else if (clock.at(0.35)) {
                site.setZoneShare(overloadedZone, usualShare + OVERLOAD * usualShare);
            } else if (clock.at(0.45)) {
                site.injectFault(nodeName(second), Site.Fault.RESTART);
            } else if (clock.at(0.6)) {
                site.setZoneShare(overloadedZone, usualShare);
            } else if (clock.at(0.7)) {
                site.injectFault(nodeName(drained), Site.Fault.DRAIN);
            }
            if (mode == PlannersDrill.Mode.FAILING) {
                plannerFaults.inject(clock);
            }
            Thread.sleep(1_000);
        }
    }

    private static String nodeName(int index) {
        return "n" + (index + 1);
    }
}
