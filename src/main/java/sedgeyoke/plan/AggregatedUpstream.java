package sedgeyoke.plan;

import java.util.HashSet;
import java.util.Set;

/**
 * One upstream, aggregated over all forwarders' reports: the total of their limits, its drain state, and an estimate of
 * its capacity, which is its throughput divided by its utilisation.
 */
final class AggregatedUpstream {
    /** Load reports that are older are not used to estimate the capacity. */
    private static final long MAX_REPORT_AGE_MICROS = 3_000_000;
    /** Weight of a new sample in the exponential moving average of the throughput. */
    private static final double RATE_SMOOTHING = 0.2;
    /** Weight of a new sample in the exponential moving average of the capacity. */
    private static final double CAPACITY_SMOOTHING = RATE_SMOOTHING * RATE_SMOOTHING;
    /** Minimum utilisation for a capacity sample; below it, throughput divided by utilisation is inaccurate. */
    private static final double MIN_UTILISATION = 0.15;
    /** Minimum throughput for a capacity sample, in requests a second; below it, the sample is inaccurate, too. */
    private static final double MIN_RATE = 2;

    private static final long NEVER = Long.MIN_VALUE;

    private final String id;
    private final Set<String> drainReporters = new HashSet<>();
    private int zone;
    private long launchedAtMicros;
    private double utilisation = Double.NaN;
    private long loadReportedAtMicros = NEVER;
    private double totalLimit;
    private double rate;
    private double capacity = Double.NaN;
    private long sentSinceUpdate;
    private long lastMentionedAtMicros;

    AggregatedUpstream(String id) {
        this.id = id;
    }

    String id() {
        return id;
    }

    int zone() {
        return zone;
    }

    long launchedAtMicros() {
        return launchedAtMicros;
    }

    boolean draining() {
        return !drainReporters.isEmpty();
    }

    /** Estimated requests a second at full utilisation; NaN while unknown. */
    double capacity() {
        return capacity;
    }

    long lastMentionedAtMicros() {
        return lastMentionedAtMicros;
    }

    PlanMessage.View view() {
        return new PlanMessage.View(id, zone, totalLimit, launchedAtMicros, draining());
    }

    /** Adds one forwarder's report of this upstream; {@code contribution} holds that forwarder's previous report. */
    void add(long nowMicros, String forwarder, ForwarderReport.Load load, ForwarderContribution contribution) {
        lastMentionedAtMicros = nowMicros;
        zone = load.zone();
        sentSinceUpdate += contribution.updateSent(load.sent());
        totalLimit += contribution.updateLimit(load.limit());
        updateState(forwarder, load);
        long reportedAtMicros = load.reportAgeMicros() < 0 ? NEVER : nowMicros - load.reportAgeMicros();
        if (reportedAtMicros > loadReportedAtMicros) {
            loadReportedAtMicros = reportedAtMicros;
            utilisation = load.utilisation();
        }
    }

    /**
     * Updates start and drain state. The latest reported start identifies the upstream's current process, which is
     * draining if any forwarder reports that it drains.
     */
    private void updateState(String forwarder, ForwarderReport.Load load) {
        if (load.launchedAtMicros() > launchedAtMicros) {
            launchedAtMicros = load.launchedAtMicros();
            drainReporters.clear();
            capacity = Double.NaN;
        }
        if (load.draining() && load.launchedAtMicros() == launchedAtMicros) {
            drainReporters.add(forwarder);
        } else {
            drainReporters.remove(forwarder);
        }
    }

    /** Removes a forwarder's contribution to the total limit and the drain state. */
    void remove(String forwarder, ForwarderContribution contribution) {
        totalLimit -= contribution.limit();
        drainReporters.remove(forwarder);
    }

    /**
     * Updates the estimates of throughput and capacity from the attempts of the last {@code seconds}; 0 stands for the
     * first update.
     */
    void updateCapacity(long nowMicros, double seconds) {
        if (seconds > 0) {
            rate += RATE_SMOOTHING * (sentSinceUpdate / seconds - rate);
        }
        sentSinceUpdate = 0;
        if (hasRecentLoadReport(nowMicros) && utilisation > MIN_UTILISATION && rate > MIN_RATE) {
            double sample = rate / utilisation;
            capacity = Double.isNaN(capacity) ? sample : capacity + CAPACITY_SMOOTHING * (sample - capacity);
        }
    }

    boolean hasRecentLoadReport(long nowMicros) {
        return loadReportedAtMicros != NEVER && nowMicros - loadReportedAtMicros <= MAX_REPORT_AGE_MICROS;
    }
}
