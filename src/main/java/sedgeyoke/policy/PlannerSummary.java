package sedgeyoke.policy;

import java.util.ArrayList;
import java.util.List;
import sedgeyoke.policy.LoadBalancingPolicy.LoadReport;
import sedgeyoke.policy.LoadBalancingPolicy.Summary;
import sedgeyoke.policy.LoadBalancingPolicy.UpstreamStatus;

/** Builds the load report of this balancer to planners. It changes no state. */
final class PlannerSummary {
    private final UpstreamTable upstreams;
    private final RequestQueue queue;
    private final RequestRates rates;
    private final SlowStart slowStart;
    private final UtilizationReweighting reweighting;

    PlannerSummary(
            UpstreamTable upstreams,
            RequestQueue queue,
            RequestRates rates,
            SlowStart slowStart,
            UtilizationReweighting reweighting) {
        this.upstreams = upstreams;
        this.queue = queue;
        this.rates = rates;
        this.slowStart = slowStart;
        this.reweighting = reweighting;
    }

    Summary at(long nowMicros) {
        List<UpstreamStatus> statuses = new ArrayList<>(upstreams.all().size());
        for (UpstreamState upstream : upstreams.all()) {
            statuses.add(status(upstream, nowMicros));
        }
        return new Summary(rates.allClassesPerSecond(), statuses, queue.size());
    }

    private UpstreamStatus status(UpstreamState upstream, long nowMicros) {
        LoadReport report = upstream.reports.latest();
        return new UpstreamStatus(
                upstream.id,
                upstream.endpoint().zone(),
                upstream.endpoint().state(),
                upstream.launchedAtMicros(),
                upstream.inFlight.attempts(),
                upstream.inFlight.attemptsSent(),
                reweighting.weight(upstream),
                upstream.concurrency.limit(),
                report == null ? Double.NaN : report.utilisation(),
                report == null ? Double.NaN : report.waiting(),
                report == null ? 0 : upstream.reports.reportedAtMicros(),
                OutlierDetection.isEjected(upstream, nowMicros) || upstreams.isCordoned(upstream),
                slowStart.ownQuotaPerSecond(upstream, nowMicros));
    }
}
