package sedgeyoke.policy;

import sedgeyoke.policy.LoadBalancingPolicy.LoadReport;
import sedgeyoke.policy.LoadBalancingPolicy.Upstream;

/** What this balancer knows of one process of one upstream. A restarted upstream gets a new state. */
final class UpstreamState {
    private static final long REPORT_LIFETIME_MICROS = 3_000_000; // older load reports are ignored
    private static final double BUSY_UTILISATION = 0.8; // below it, requests do not wait for a core

    final String id;
    Upstream entry;
    int inFlight; // attempts that it may be working on, without transfers
    int transfers;
    int openStreams;
    double workInFlight;
    double logWeight;
    double weight = 1;
    double utilisation = Double.NaN;
    LoadReport report;
    long reportedAtMicros = Long.MIN_VALUE / 2;
    double limit;
    long backOffUntil;
    long limitCutAt;
    double leastServiceTime;
    long leastServiceTimeAt;
    double meanResponseTime;
    double errorRate;
    long lastProgressAt;
    long lastResponseAt = Long.MIN_VALUE / 2;
    boolean hanging;
    long ejectedUntil;
    long ejectionTime = OutlierDetection.BASE_EJECTION_MICROS;
    SlowStartBucket slowStart;
    long attemptsSent;
    double limitFactor = 1;
    double plannedLimit = Double.NaN;
    double zoneSpillover;
    boolean plannedDraining;
    long notifiedLaunchAt;
    long slowStartBeganAt; // by our own clock, 0 for long ago; launchedAtMicros() only tells processes apart
    long healthCheckedAt = Long.MIN_VALUE / 2;
    double ringPosition;
    double reportedActive;
    double serviceTimeMicros; // as last reported, or the duration of a later attempt without a response
    long serviceTimeAt;

    UpstreamState(String id) {
        this.id = id;
    }

    /** Its latest start, by the endpoint list or a planner. */
    long launchedAtMicros() {
        return Math.max(entry.launchedAtMicros(), notifiedLaunchAt);
    }

    boolean hasFreshReport(long now) {
        return report != null && now - reportedAtMicros <= REPORT_LIFETIME_MICROS;
    }

    /** Whether the latest report, which covers the requests of all balancers, shows idle cores. */
    boolean reportsCapacity(long now) {
        return hasFreshReport(now) && report.utilisation() < BUSY_UTILISATION;
    }
}
