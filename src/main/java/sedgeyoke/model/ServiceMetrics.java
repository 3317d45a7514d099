package sedgeyoke.model;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/** Metrics of the clients' results: priority weight served within the latency objective, latencies, answers by kind. */
final class ServiceMetrics {
    private static final int INITIAL_LATENCIES = 1_024;

    private final Map<String, Integer> answersByKind = new TreeMap<>();
    private long[] latenciesMicros = new long[INITIAL_LATENCIES];
    private int latencyCount;
    private double offeredWeight;
    private double servedWeight;
    private long offeredRequests;

    void offered(RequestClassModel requestClass) {
        offeredRequests++;
        offeredWeight += requestClass.priorityWeight();
    }

    void ended(InvariantChecker.Answer answer) {
        answersByKind.merge(answer.metric(), 1, Integer::sum);
    }

    void served(RequestClassModel requestClass, long latencyMicros) {
        if (latencyMicros <= requestClass.latencyObjectiveMs() * 1_000L) {
            servedWeight += requestClass.priorityWeight();
        }
        if (latencyCount == latenciesMicros.length) {
            latenciesMicros = Arrays.copyOf(latenciesMicros, 2 * latencyCount);
        }
        latenciesMicros[latencyCount++] = latencyMicros;
    }

    /** Requests of clients, without their retries. */
    long offeredRequests() {
        return offeredRequests;
    }

    /** Weight served within the latency objective as a share of the weight offered; 1 where nothing was offered. */
    double service() {
        return offeredWeight == 0 ? 1 : servedWeight / offeredWeight;
    }

    Map<String, Integer> answersByKind() {
        return new TreeMap<>(answersByKind);
    }

    /** Latencies of served requests in ascending order. */
    long[] sortedLatenciesMicros() {
        long[] sorted = Arrays.copyOf(latenciesMicros, latencyCount);
        Arrays.sort(sorted);
        return sorted;
    }
}
