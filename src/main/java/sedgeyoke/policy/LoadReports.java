package sedgeyoke.policy;

import java.util.HashMap;
import java.util.Map;
import sedgeyoke.policy.LoadBalancingPolicy.LoadReport;
import sedgeyoke.policy.LoadBalancingPolicy.RequestClass;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;
import sedgeyoke.policy.LoadBalancingPolicy.Upstream;

/** Keeps the load reports of upstreams and estimates from them how slow and how loaded each upstream is. */
final class LoadReports {
    /** Age up to which the utilisation of a report is used. */
    private static final long REPORT_LIFETIME_MICROS = 3_000_000;
    /** Utilisation above which requests may wait for a core. */
    private static final double BUSY_UTILISATION = 0.8;
    /** A utilisation outside of these bounds makes a report invalid. */
    private static final double MIN_UTILISATION = -0.5;

    private static final double MAX_UTILISATION = 2;
    /** A report that states more requests in flight is taken to state this many. */
    private static final double MAX_REPORTED_ACTIVE = 1e3;
    /** Age of a report, in mean response times, from which on it says nothing about the current load. */
    private static final double REPORT_MEMORY = 20;
    /** Weight of one report in the mean of requests in flight. */
    private static final double ACTIVE_SMOOTHING = 0.15;

    private final ResponseTimes responseTimes;
    private final int zones;
    private final long longestTimeoutMicros;
    private final Map<Integer, Double> serviceTimesByKindMicros = new HashMap<>();
    private double meanActive;
    private double meanServiceTimeMicros;

    LoadReports(Settings settings, ResponseTimes responseTimes) {
        this.responseTimes = responseTimes;
        this.zones = settings.zones();
        this.longestTimeoutMicros = settings.classes().stream()
                .mapToLong(RequestClass::clientTimeoutMicros)
                .max()
                .orElse(0);
    }

    /** What one upstream has reported. */
    static final class State {
        private LoadReport latest;
        private long reportedAtMicros = Long.MIN_VALUE / 2;
        private double active;
        /** The last reported service time, or the duration of a later attempt without a response. */
        private double serviceTimeMicros;

        private long serviceTimeAtMicros;

        /** The latest report; null if there is none. */
        LoadReport latest() {
            return latest;
        }

        /** When the latest report came; meaningless without one. */
        long reportedAtMicros() {
            return reportedAtMicros;
        }
    }

    /** Records a report; one with an invalid utilisation is ignored. */
    void record(UpstreamState upstream, LoadReport report, long nowMicros) {
        if (!(report.utilisation() >= MIN_UTILISATION && report.utilisation() <= MAX_UTILISATION)) {
            return;
        }
        State state = upstream.reports;
        state.latest = report;
        state.reportedAtMicros = nowMicros;
        // Some upstreams report only the requests that wait.
        double active = report.active() >= 0 ? report.active() : report.waiting();
        state.active = active >= 0 ? Math.min(active, MAX_REPORTED_ACTIVE) : 0;
        meanActive += ACTIVE_SMOOTHING * (state.active - meanActive);
        double serviceTime = report.serviceTimeMicros();
        if (serviceTime > 0 && serviceTime <= longestTimeoutMicros) {
            recordServiceTime(upstream, serviceTime, nowMicros);
        }
    }

    private void recordServiceTime(UpstreamState upstream, double serviceTimeMicros, long nowMicros) {
        upstream.reports.serviceTimeMicros = serviceTimeMicros;
        upstream.reports.serviceTimeAtMicros = nowMicros;
        double smoothing = MovingAverage.FLEET_SMOOTHING;
        meanServiceTimeMicros = MovingAverage.next(meanServiceTimeMicros, serviceTimeMicros, smoothing);
        serviceTimesByKindMicros.merge(
                zoneAndKind(upstream.endpoint()),
                serviceTimeMicros,
                (mean, sample) -> MovingAverage.next(mean, sample, smoothing));
    }

    /**
     * Uses the duration of an attempt without a response as the service time if it is longer, as overloaded upstreams
     * send no reports.
     */
    void recordNoResponse(UpstreamState upstream, long durationMicros, long nowMicros) {
        if (durationMicros > meanServiceTimeMicros * slowness(upstream, nowMicros)) {
            upstream.reports.serviceTimeMicros = durationMicros;
            upstream.reports.serviceTimeAtMicros = nowMicros;
        }
    }

    /** The reported utilisation from 0 to 1; NaN without a recent report. */
    double utilisation(UpstreamState upstream, long nowMicros) {
        return hasFreshReport(upstream, nowMicros)
                ? Math.max(0, Math.min(1, upstream.reports.latest.utilisation()))
                : Double.NaN;
    }

    /** Whether the latest report, which covers the requests of all balancers, shows idle cores. */
    boolean reportsIdleCores(UpstreamState upstream, long nowMicros) {
        return hasFreshReport(upstream, nowMicros) && upstream.reports.latest.utilisation() < BUSY_UTILISATION;
    }

    private static boolean hasFreshReport(UpstreamState upstream, long nowMicros) {
        State state = upstream.reports;
        return state.latest != null && nowMicros - state.reportedAtMicros <= REPORT_LIFETIME_MICROS;
    }

    /**
     * All requests in flight at the upstream, most of them from other balancers. The reported number fades to the mean
     * of all upstreams with the age of the report.
     */
    double othersInFlight(UpstreamState upstream, long nowMicros) {
        double confidence = confidence(upstream.reports.reportedAtMicros, nowMicros);
        return meanActive + confidence * (upstream.reports.active - meanActive);
    }

    /**
     * The service time of the upstream as a multiple of the mean, fading to 1 with the age of the observation. It grows
     * with the number of concurrent requests, as they share cores.
     */
    double slowness(UpstreamState upstream, long nowMicros) {
        State state = upstream.reports;
        boolean known = state.serviceTimeMicros > 0 && meanServiceTimeMicros > 0;
        double ratio = known ? state.serviceTimeMicros / meanServiceTimeMicros : 1;
        return StrictMath.pow(ratio, confidence(state.serviceTimeAtMicros, nowMicros));
    }

    /** How much an observation made at that time still counts, from 1 to 0. */
    private double confidence(long observedAtMicros, long nowMicros) {
        double memoryMicros = Math.max(1, REPORT_MEMORY * responseTimes.meanMicros());
        return Math.max(0, 1 - (nowMicros - observedAtMicros) / memoryMicros);
    }

    /** The mean service time of upstreams of the same zone and kind; before their first report, that of all. */
    double kindServiceTimeMicros(Upstream endpoint) {
        return serviceTimesByKindMicros.getOrDefault(zoneAndKind(endpoint), meanServiceTimeMicros);
    }

    /** Mean over all upstreams; 0 before the first report. */
    double meanServiceTimeMicros() {
        return meanServiceTimeMicros;
    }

    private int zoneAndKind(Upstream endpoint) {
        return endpoint.kind() * zones + endpoint.zone();
    }
}
