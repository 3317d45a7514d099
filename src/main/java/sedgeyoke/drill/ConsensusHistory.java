package sedgeyoke.drill;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;
import sedgeyoke.consensus.ConfigDocument;
import sedgeyoke.consensus.ConfigSchema;
import sedgeyoke.consensus.RequestResult;

/**
 * What a consensus drill observed from outside: reads and writes as their clients saw them, arrivals of requests at
 * nodes, and the periods in which balancers were isolated. All times are microseconds of the site's clock. Recording is
 * thread-safe; the checks are to be run after the drill.
 */
final class ConsensusHistory {
    /** How long after a balancer learned of a version a request that it sent before may still arrive at a node. */
    static final long IN_TRANSIT_MICROS = 100_000;

    private final long leaseMicros;
    private final List<Write> writes = new CopyOnWriteArrayList<>();
    private final List<Operation> reads = new CopyOnWriteArrayList<>();
    private final Map<String, List<Arrival>> arrivalsByNode = new ConcurrentHashMap<>();
    private final List<Isolation> isolations = new CopyOnWriteArrayList<>();

    ConsensusHistory(long leaseMs) {
        this.leaseMicros = leaseMs * 1_000;
    }

    /** A read or a committed write as its client saw it: when it began and ended, and its version. */
    private record Operation(long startMicros, long endMicros, long version) {}

    /** A write as its client saw it. Each version disables exactly one node. */
    private record Write(long startMicros, long endMicros, RequestResult result, ConfigDocument content) {
        boolean committed() {
            return result.kind() == RequestResult.Kind.DONE;
        }

        long version() {
            return result.version();
        }

        String disabledNode() {
            return content.names(ConfigSchema.DISABLED_UPSTREAMS)
                    .keySet()
                    .iterator()
                    .next();
        }
    }

    /** A request that reached a node. */
    private record Arrival(int balancer, long atMicros) {}

    /** A period in which a balancer could reach no config server. */
    private record Isolation(int balancer, long startMicros, long endMicros) {}

    /**
     * The longest time for which requests still reached a node after the version that disables it was acknowledged.
     *
     * @param maxMs for balancers that could reach the config servers
     * @param isolatedMaxMs for balancers that could not
     */
    record Contradictions(long maxMs, long isolatedMaxMs) {}

    void recordRead(long startMicros, long endMicros, long version) {
        reads.add(new Operation(startMicros, endMicros, version));
    }

    void recordWrite(long startMicros, long endMicros, RequestResult result, ConfigDocument content) {
        writes.add(new Write(startMicros, endMicros, result, content));
    }

    void recordArrival(int balancer, String node, long atMicros) {
        arrivalsByNode.computeIfAbsent(node, id -> new ArrayList<>()).add(new Arrival(balancer, atMicros));
    }

    void recordIsolation(int balancer, long startMicros, long endMicros) {
        isolations.add(new Isolation(balancer, startMicros, endMicros));
    }

    /** The number of writes that ended with this kind of result. */
    long count(RequestResult.Kind kind) {
        return writes.stream().filter(write -> write.result().kind() == kind).count();
    }

    /** The number of committed versions that are above the final version, or that two writes both returned. */
    long lostCommits(long finalVersion) {
        List<Write> committed = committedWrites();
        long distinct = committed.stream().mapToLong(Write::version).distinct().count();
        long highest = committed.stream().mapToLong(Write::version).max().orElse(0);
        return committed.size() - distinct + Math.max(0, highest - finalVersion);
    }

    /** Whether no operation returned an older version than an operation that had ended before it began. */
    boolean linearizable() {
        List<Operation> operations = Stream.concat(
                        reads.stream(),
                        committedWrites().stream()
                                .map(write -> new Operation(write.startMicros(), write.endMicros(), write.version())))
                .toList();
        return operations.stream().allMatch(first -> operations.stream()
                .noneMatch(second -> first.endMicros() < second.startMicros() && second.version() < first.version()));
    }

    /**
     * The late arrivals at each node that a version disables, until the next version enables it again. A node is left
     * out where the next version is unknown because the outcome of its write is unknown.
     */
    Contradictions contradictions() {
        long max = 0;
        long isolatedMax = 0;
        List<Write> committed = committedWrites();
        for (int i = 0; i < committed.size(); i++) {
            Write write = committed.get(i);
            boolean last = i + 1 == committed.size();
            if (!last && committed.get(i + 1).version() != write.version() + 1) {
                continue;
            }
            long disabledUntil = disabledUntil(committed, i);
            for (Arrival arrival : arrivals(write.disabledNode())) {
                if (arrival.atMicros() <= write.endMicros() || arrival.atMicros() >= disabledUntil) {
                    continue;
                }
                long lateMs = (arrival.atMicros() - write.endMicros()) / 1_000;
                if (isolated(arrival)) {
                    isolatedMax = Math.max(isolatedMax, lateMs);
                } else {
                    max = Math.max(max, lateMs);
                }
            }
        }
        return new Contradictions(max, isolatedMax);
    }

    /**
     * How often balancers acted on contradicting versions at the same time. Each version disables one node and enables
     * the one that the version before disables, so that the two nodes must never be in use at the same time.
     */
    int strictContradictions() {
        List<Write> committed = committedWrites();
        int found = 0;
        for (int i = 1; i < committed.size(); i++) {
            Write previous = committed.get(i - 1);
            Write next = committed.get(i);
            boolean consecutive = next.version() == previous.version() + 1;
            if (consecutive && !previous.disabledNode().equals(next.disabledNode())) {
                found += bothInUse(previous, next, disabledUntil(committed, i)) ? 1 : 0;
            }
        }
        return found;
    }

    /** Whether the node that {@code next} disables is still used after the one that it enables is used again. */
    private boolean bothInUse(Write previous, Write next, long disabledUntil) {
        long firstAtEnabled = arrivals(previous.disabledNode()).stream()
                .filter(arrival -> arrival.atMicros() >= next.startMicros() + IN_TRANSIT_MICROS && !isolated(arrival))
                .mapToLong(Arrival::atMicros)
                .min()
                .orElse(Long.MAX_VALUE);
        long lastAtDisabled = arrivals(next.disabledNode()).stream()
                .filter(arrival -> arrival.atMicros() >= next.startMicros()
                        && arrival.atMicros() < disabledUntil
                        && !isolated(arrival))
                .mapToLong(Arrival::atMicros)
                .max()
                .orElse(0);
        return firstAtEnabled < disabledUntil && lastAtDisabled > firstAtEnabled + IN_TRANSIT_MICROS;
    }

    /** When the write after this one began, which may enable this one's node again. */
    private static long disabledUntil(List<Write> committed, int index) {
        return index + 1 < committed.size() ? committed.get(index + 1).startMicros() : Long.MAX_VALUE;
    }

    private List<Write> committedWrites() {
        return writes.stream()
                .filter(Write::committed)
                .sorted(Comparator.comparingLong(Write::version))
                .toList();
    }

    private List<Arrival> arrivals(String node) {
        return arrivalsByNode.getOrDefault(node, List.of());
    }

    /** A balancer still counts as isolated for one lease after it can reach the config servers again. */
    private boolean isolated(Arrival arrival) {
        return isolations.stream()
                .anyMatch(isolation -> isolation.balancer() == arrival.balancer()
                        && arrival.atMicros() >= isolation.startMicros()
                        && arrival.atMicros() <= isolation.endMicros() + leaseMicros);
    }
}
