package sedgeyoke.plan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The upstreams as all reports together show them. */
final class UpstreamAggregate {
    /** An upstream that nobody has mentioned for so long is forgotten: ids are new all day. */
    private static final long FORGOTTEN_AFTER = 10_000_000;
    /** A report older than that says nothing of what an upstream can do. */
    private static final long FRESH = 3_000_000;

    private static final double SMOOTH = 0.2;
    /** Below that utilisation, throughput tells little of capacity. */
    private static final double LEAST_UTILISATION = 0.15;

    private static final double LEAST_RATE = 2;

    private final int most;
    private final Map<String, Upstream> byId = new LinkedHashMap<>();
    private final Map<String, Map<String, Part>> parts = new HashMap<>();
    private long measuredAt = Long.MIN_VALUE;

    /** One upstream. */
    static final class Upstream {
        final String id;
        int zone;
        long launchedAt;
        final Set<String> drainers = new HashSet<>();
        double utilisation = Double.NaN;
        long reportedAt = Long.MIN_VALUE;
        double totalLimit;
        double rate;
        double capacity = Double.NaN;
        long sentSince;
        long mentionedAt;

        Upstream(String id) {
            this.id = id;
        }

        boolean draining() {
            return !drainers.isEmpty();
        }
    }

    /** What one forwarder adds to one upstream. */
    private static final class Part {
        double limit;
        long sent;
    }

    UpstreamAggregate(int most) {
        this.most = most;
    }

    List<Upstream> upstreams() {
        return new ArrayList<>(byId.values());
    }

    Upstream get(String id) {
        return byId.get(id);
    }

    void reported(long now, ForwarderReport report) {
        Map<String, Part> own = parts.computeIfAbsent(report.forwarder(), f -> new HashMap<>());
        for (ForwarderReport.Load load : report.loads()) {
            Upstream u = byId.get(load.upstream());
            if (u == null) {
                if (byId.size() >= most) {
                    continue;
                }
                u = new Upstream(load.upstream());
                byId.put(u.id, u);
            }
            u.mentionedAt = now;
            u.zone = load.zone();
            Part p = own.get(u.id);
            if (p == null) {
                p = new Part();
                p.sent = load.sent();
                own.put(u.id, p);
            }
            u.sentSince += Math.max(0, load.sent() - p.sent);
            p.sent = load.sent();
            u.totalLimit += load.limit() - p.limit;
            p.limit = load.limit();
            tell(u, report.forwarder(), load);
            long at = load.age() < 0 ? Long.MIN_VALUE : now - load.age();
            if (at > u.reportedAt) {
                u.reportedAt = at;
                u.utilisation = load.utilisation();
            }
        }
    }

    /** The latest start that anyone was told of counts, and a drain of that process that anyone was told of. */
    private static void tell(Upstream u, String forwarder, ForwarderReport.Load load) {
        if (load.launchedAt() > u.launchedAt) {
            u.launchedAt = load.launchedAt();
            u.drainers.clear();
            u.capacity = Double.NaN;
        }
        if (load.draining() && load.launchedAt() == u.launchedAt) {
            u.drainers.add(forwarder);
        } else {
            u.drainers.remove(forwarder);
        }
    }

    /** A forwarder is gone, or back as another process: what it added is taken off. */
    void left(String forwarder) {
        Map<String, Part> own = parts.remove(forwarder);
        if (own != null) {
            own.forEach((id, p) -> {
                Upstream u = byId.get(id);
                if (u != null) {
                    u.totalLimit -= p.limit;
                    u.drainers.remove(forwarder);
                }
            });
        }
    }

    /** Once for each plan: what upstreams do and can do, from what was sent since the last one. */
    void measure(long now) {
        double seconds = measuredAt == Long.MIN_VALUE ? 0 : (now - measuredAt) / 1e6;
        measuredAt = now;
        byId.values().removeIf(u -> now - u.mentionedAt > FORGOTTEN_AFTER);
        parts.values().forEach(own -> own.keySet().retainAll(byId.keySet()));
        for (Upstream u : byId.values()) {
            if (seconds > 0) {
                u.rate += SMOOTH * (u.sentSince / seconds - u.rate);
            }
            u.sentSince = 0;
            if (fresh(u, now) && u.utilisation > LEAST_UTILISATION && u.rate > LEAST_RATE) {
                double seen = u.rate / u.utilisation;
                u.capacity = Double.isNaN(u.capacity) ? seen : u.capacity + SMOOTH * SMOOTH * (seen - u.capacity);
            }
        }
    }

    private static boolean fresh(Upstream u, long now) {
        return u.reportedAt != Long.MIN_VALUE && now - u.reportedAt <= FRESH;
    }

    /** What each zone can do, in requests a second; an upstream of unknown capacity counts as the others' mean. */
    double[] zoneCapacity(int zones) {
        double mean = byId.values().stream()
                .mapToDouble(u -> u.capacity)
                .filter(c -> c > 0)
                .average()
                .orElse(0);
        double[] capacity = new double[zones];
        for (Upstream u : byId.values()) {
            boolean counts = u.zone >= 0 && u.zone < zones && !u.draining() && fresh(u, measuredAt);
            if (counts) {
                capacity[u.zone] += u.capacity > 0 ? u.capacity : mean;
            }
        }
        return capacity;
    }

    int zones() {
        return byId.values().stream().mapToInt(u -> u.zone + 1).max().orElse(0);
    }
}
