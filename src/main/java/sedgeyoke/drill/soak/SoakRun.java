package sedgeyoke.drill.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sedgeyoke.model.InvariantChecker;
import sedgeyoke.model.MarginHistogram;
import sedgeyoke.standin.AnswerFault;
import sedgeyoke.standin.Site;

/** One run of a soak: starts a site and its balancers, injects faults and reports violations of invariants. */
final class SoakRun {
    private static final double[] ZONE_SHARES = {0.4, 0.3, 0.3};
    private static final long POLL_PROPAGATION_MS = 6_000;
    private static final long DISCOVERY_DELAY_STEP_MS = 40;
    private static final long START_TIMEOUT_MS = 60_000;
    private static final long WARM_UP_MS = 1_000;
    private static final int MANY = 1_000_000;

    private final SoakOptions options;
    private final SoakPlan plan;

    SoakRun(SoakOptions options, long seed) {
        this.options = options;
        this.plan = SoakPlan.of(seed, options.maxBalancers(), options.mistake());
    }

    /**
     * The result of a run.
     *
     * @param margins the highest share of each limit that was used, by name
     * @param broken descriptions of violations and other failures; empty if there were none
     * @param timeline the faults with their times
     */
    record Result(
            SoakPlan plan,
            InvariantChecker.Summary summary,
            Map<String, Double> margins,
            Map<String, List<Long>> histograms,
            Map<String, Integer> faults,
            double checkerStalledMs,
            List<String> broken,
            List<String> timeline) {}

    Result run(Path folder) throws IOException, InterruptedException {
        List<SoakBalancer> balancers = new ArrayList<>();
        try (Site site = new Site(plan.site(), ZONE_SHARES, plan.seed())) {
            if (plan.polled()) {
                site.setPollPropagation(POLL_PROPAGATION_MS);
            }
            try {
                startBalancers(site, folder, balancers);
                return runWith(site, balancers);
            } finally {
                balancers.forEach(SoakBalancer::close);
            }
        }
    }

    private void startBalancers(Site site, Path folder, List<SoakBalancer> balancers)
            throws IOException, InterruptedException {
        SoakConfigurations configurations = new SoakConfigurations(plan, options.mistake());
        for (int i = 0; i < plan.balancers(); i++) {
            SoakBalancer balancer = new SoakBalancer(
                    site, configurations, options, folder, i % ZONE_SHARES.length, i, i * DISCOVERY_DELAY_STEP_MS);
            balancers.add(balancer);
            balancer.start();
        }
        for (SoakBalancer balancer : balancers) {
            site.balancer(
                    balancer.name(),
                    balancer.zone(),
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), balancer.port()));
            balancer.awaitListening(START_TIMEOUT_MS);
        }
        for (int zone = 0; zone < ZONE_SHARES.length; zone++) {
            site.setZoneShare(zone, zone < plan.balancers() ? ZONE_SHARES[zone] : 0);
        }
    }

    private Result runWith(Site site, List<SoakBalancer> balancers) throws IOException, InterruptedException {
        EventLog events = new EventLog(site::now);
        site.setDisconnectShare(plan.disconnectShare());
        plantBefore(site, balancers);
        site.startClients(plan.load() * plan.site().capacity());
        Thread.sleep(WARM_UP_MS);
        List<String> failures = injectFaults(site, balancers, events);
        site.stopClients();
        return site.ask(() -> result(site.checker(), events, failures));
    }

    /** Returns failures of processes that are no violations of invariants. */
    private List<String> injectFaults(Site site, List<SoakBalancer> balancers, EventLog events)
            throws IOException, InterruptedException {
        if (!options.faults()) {
            Thread.sleep(options.seconds() * 1_000L);
            return List.of();
        }
        try (SoakFaults faults = new SoakFaults(site, plan, options.mistake(), balancers, events)) {
            faults.runFor(options.seconds() * 1_000L);
            return faults.failures();
        }
    }

    private void plantBefore(Site site, List<SoakBalancer> balancers) {
        switch (options.mistake()) {
            case DRAINS_NOT_ANNOUNCED -> balancers.forEach(
                    balancer -> balancer.failDiscoveryAnswers(Collections.nCopies(MANY, AnswerFault.SILENT)));
            case SENT_AFTER_DISCONNECT -> site.plantRequestsAfterDisconnect();
            case DEADLINES_TOO_LONG -> site.plantExcessiveBudgets();
            default -> {}
        }
    }

    private Result result(InvariantChecker checker, EventLog events, List<String> failures) {
        List<String> broken = new ArrayList<>(checker.violationMessages());
        broken.addAll(failures);
        long pending = checker.pendingRequests();
        if (pending > 0) {
            broken.add("rule 1: " + pending + " requests were neither answered nor closed");
        }
        InvariantChecker.Summary summary = checker.summary();
        if (broken.isEmpty() && summary.ruleViolations() > 0) {
            broken.add("rules broken: " + summary.violations());
        }
        Map<String, Double> margins = new TreeMap<>();
        Map<String, List<Long>> histograms = new TreeMap<>();
        for (Map.Entry<String, MarginHistogram> margin : checker.margins().entrySet()) {
            margins.put(margin.getKey(), margin.getValue().worst());
            histograms.put(margin.getKey(), margin.getValue().counts());
        }
        return new Result(
                plan, summary, margins, histograms, events.counts(), checker.stalledMs(), broken, events.lines());
    }
}
