package sedgeyoke.policy;

import sedgeyoke.policy.LoadBalancingPolicy.Upstream;

/**
 * What this balancer knows of one process of one upstream. Each part is declared by the module that alone changes it;
 * others read it through that module. A restarted upstream gets a new state.
 */
final class UpstreamState {
    final String id;
    /** The upstream's position, from 0 to 1, on the ring from which each balancer takes its order of upstreams. */
    final double ringPosition;

    final InFlightLoad inFlight = new InFlightLoad();
    final LoadReports.State reports = new LoadReports.State();
    final ResponseTimes.State responseTimes = new ResponseTimes.State();
    final UtilizationReweighting.State weighting = new UtilizationReweighting.State();
    final OutlierDetection.State outlier = new OutlierDetection.State();
    final PlanBlend.State plan = new PlanBlend.State();
    final HealthChecks.State healthChecks = new HealthChecks.State();
    final ConcurrencyLimits.State concurrency;
    final SlowStart.State slowStart;

    /** The upstream's entry in the endpoint list. */
    private Upstream endpoint;

    UpstreamState(
            Upstream endpoint, double ringPosition, ConcurrencyLimits.State concurrency, SlowStart.State slowStart) {
        this.id = endpoint.id();
        this.endpoint = endpoint;
        this.ringPosition = ringPosition;
        this.concurrency = concurrency;
        this.slowStart = slowStart;
    }

    Upstream endpoint() {
        return endpoint;
    }

    /** Replaces the entry by a newer one; for {@link UpstreamTable} only. */
    void update(Upstream newer) {
        endpoint = newer;
    }

    /** The upstream's latest launch: from the endpoint list, a planner or the end of a cordon; 0 for long ago. */
    long launchedAtMicros() {
        return Math.max(endpoint.launchedAtMicros(), slowStart.notifiedLaunchMicros());
    }
}
