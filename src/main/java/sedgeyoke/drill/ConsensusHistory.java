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
 * What a consensus drill observed from outside: reads and writes as their clients saw them, requests as nodes saw them
 * arrive, and which balancers were isolated when. All times are microseconds of the site's clock. Recording is
 * thread-safe; the checks are for the time after the run.
 */
final class ConsensusHistory {
    /** A request that left a balancer before it learned of a version may arrive this much later. */
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

    /** A write as its client saw it. Each version takes exactly one node out. */
    private record Write(long startMicros, long endMicros, RequestResult result, ConfigDocument content) {
        boolean committed() {
            return result.kind() == RequestResult.Kind.DONE;
        }

        long version() {
            return result.version();
        }

        String nodeOut() {
            return content.names(ConfigSchema.DISABLED_UPSTREAMS)
                    .keySet()
                    .iterator()
                    .next();
        }
    }

    /** A request that reached a node. */
    private record Arrival(int balancer, long atMicros) {}

    /** A time in which a balancer could reach no config server. */
    private record Isolation(int balancer, long startMicros, long endMicros) {}

    /**
     * The longest time for which requests still reached a node after the version that took it out was acknowledged.
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

    /** How many writes ended with a kind of result. */
    long count(RequestResult.Kind kind) {
        return writes.stream().filter(write -> write.result().kind() == kind).count();
    }

    /** Committed versions that are missing, or that two writes both claim, given the version at the end. */
    long lostCommits(long finalVersion) {
        List<Write> committed = committedWrites();
        long distinct = committed.stream().mapToLong(Write::version).distinct().count();
        long highest = committed.stream().mapToLong(Write::version).max().orElse(0);
        return committed.size() - distinct + Math.max(0, highest - finalVersion);
    }

    /** Whether no operation saw an older version than one that had ended before it began. */
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
     * The late arrivals at each node that a version took out, until the next version put it back. Where the next
     * version is not known, as its write has no known outcome, nothing can be said of that node.
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
            long outUntil = outUntil(committed, i);
            for (Arrival arrival : arrivals(write.nodeOut())) {
                if (arrival.atMicros() <= write.endMicros() || arrival.atMicros() >= outUntil) {
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
     * How often two balancers acted on rules that contradict each other. Each version takes one node out and puts back
     * the one before it, so that the two must never be in use at the same time.
     */
    int strictContradictions() {
        List<Write> committed = committedWrites();
        int found = 0;
        for (int i = 1; i < committed.size(); i++) {
            Write previous = committed.get(i - 1);
            Write next = committed.get(i);
            boolean consecutive = next.version() == previous.version() + 1;
            if (consecutive && !previous.nodeOut().equals(next.nodeOut())) {
                found += bothInUse(previous, next, outUntil(committed, i)) ? 1 : 0;
            }
        }
        return found;
    }

    /** Whether the node that {@code next} takes out is still used after the one that it puts back is used again. */
    private boolean bothInUse(Write previous, Write next, long outUntil) {
        long firstAtReturned = arrivals(previous.nodeOut()).stream()
                .filter(arrival -> arrival.atMicros() >= next.startMicros() + IN_TRANSIT_MICROS && !isolated(arrival))
                .mapToLong(Arrival::atMicros)
                .min()
                .orElse(Long.MAX_VALUE);
        long lastAtRemoved = arrivals(next.nodeOut()).stream()
                .filter(arrival ->
                        arrival.atMicros() >= next.startMicros() && arrival.atMicros() < outUntil && !isolated(arrival))
                .mapToLong(Arrival::atMicros)
                .max()
                .orElse(0);
        return firstAtReturned < outUntil && lastAtRemoved > firstAtReturned + IN_TRANSIT_MICROS;
    }

    /** When the write after this one began, which may put its node back. */
    private static long outUntil(List<Write> committed, int index) {
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
