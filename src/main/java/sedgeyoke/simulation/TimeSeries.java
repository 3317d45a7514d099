package sedgeyoke.simulation;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import sedgeyoke.model.InvariantChecker;
import sedgeyoke.model.RequestClassModel;

/** Clients' results by second, and totals after the warm-up; a result counts for the start time of its operation. */
final class TimeSeries {
    private static final long SECOND = 1_000_000;
    private static final long MAX_LATENCY_MICROS = 60_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final long startMicros;
    private final long warmUpEndMicros;
    private final List<Second> seconds = new ArrayList<>();
    private final Histogram latency = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    private double offeredWeight;
    private double servedWeight;

    /** Operations that started in one second. */
    private static final class Second {
        private double offeredWeight;
        private double servedWeight;
        private long operations;
        private long rejected;
        private long failed;
        private long served;
        private double totalLatencyMicros;
        private long maxLatencyMicros;

        SimulationResult.Second toResult() {
            return new SimulationResult.Second(
                    offeredWeight == 0 ? 1 : servedWeight / offeredWeight,
                    operations,
                    rejected,
                    failed,
                    served == 0 ? 0 : totalLatencyMicros / served / 1e3,
                    maxLatencyMicros / 1e3);
        }
    }

    TimeSeries(long startMicros, double warmUpSeconds) {
        this.startMicros = startMicros;
        this.warmUpEndMicros = startMicros + (long) (warmUpSeconds * SECOND);
    }

    private Second secondOf(long timeMicros) {
        int index = (int) ((timeMicros - startMicros) / SECOND);
        while (seconds.size() <= index) {
            seconds.add(new Second());
        }
        return seconds.get(index);
    }

    /** Counts an operation that a client has started. */
    void started(RequestClassModel requestClass, long nowMicros) {
        Second second = secondOf(nowMicros);
        second.offeredWeight += requestClass.priorityWeight();
        second.operations++;
        offeredWeight += nowMicros >= warmUpEndMicros ? requestClass.priorityWeight() : 0;
    }

    /** Counts an answer; the operation's weight counts as served if the latency objective was met. */
    void answered(
            RequestClassModel requestClass,
            InvariantChecker.Answer answer,
            long latencyMicros,
            long operationStartMicros) {
        Second second = secondOf(operationStartMicros);
        switch (answer) {
            case SERVED -> {
                boolean inTime = latencyMicros <= requestClass.latencyObjectiveMs() * 1_000L;
                served(second, inTime ? requestClass.priorityWeight() : 0, latencyMicros, operationStartMicros);
            }
            case REJECTED -> second.rejected++;
            default -> second.failed++;
        }
    }

    private void served(Second second, double weight, long latencyMicros, long operationStartMicros) {
        second.servedWeight += weight;
        second.served++;
        second.totalLatencyMicros += latencyMicros;
        second.maxLatencyMicros = Math.max(second.maxLatencyMicros, latencyMicros);
        if (operationStartMicros >= warmUpEndMicros) {
            servedWeight += weight;
            latency.recordValue(Math.min(latencyMicros, MAX_LATENCY_MICROS));
        }
    }

    /** Priority weight served in time over that offered; 1 where nothing was offered. */
    double service() {
        return offeredWeight == 0 ? 1 : servedWeight / offeredWeight;
    }

    Histogram latency() {
        return latency;
    }

    List<SimulationResult.Second> seconds() {
        return seconds.stream().map(Second::toResult).toList();
    }
}
