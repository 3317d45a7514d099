package sedgeyoke.plan;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sedgeyoke.policy.LoadBalancingPolicy.UpstreamView;

/**
 * Caches the latest view of each upstream. A plan has the views of some upstreams only, so views of earlier plans stay
 * valid until a timeout.
 */
final class ViewCache {
    private static final long VIEW_TIMEOUT_MICROS = 5_000_000;
    private static final int MAX_VIEWS = 20_000;

    private final Map<String, CachedView> byUpstream = new LinkedHashMap<>();

    private record CachedView(PlanMessage.View view, long receivedAtMicros) {}

    /** Adds the views of a plan, and removes those that are too old or too many. */
    void add(long nowMicros, List<PlanMessage.View> views) {
        for (PlanMessage.View view : views) {
            byUpstream.put(view.upstream(), new CachedView(view, nowMicros));
        }
        byUpstream.values().removeIf(cached -> nowMicros - cached.receivedAtMicros() > VIEW_TIMEOUT_MICROS);
        while (byUpstream.size() > MAX_VIEWS) {
            byUpstream.remove(byUpstream.keySet().iterator().next());
        }
    }

    /** Returns all views, with total limits scaled to the forwarder's share by zone; NaN for zones without a share. */
    List<UpstreamView> upstreamViews(List<Double> limitShares) {
        List<UpstreamView> upstreamViews = new ArrayList<>(byUpstream.size());
        for (CachedView cached : byUpstream.values()) {
            PlanMessage.View view = cached.view();
            boolean hasShare = view.zone() >= 0 && view.zone() < limitShares.size();
            double limit = hasShare ? view.totalLimit() * limitShares.get(view.zone()) : Double.NaN;
            upstreamViews.add(new UpstreamView(view.upstream(), limit, view.launchedAtMicros(), view.draining()));
        }
        return upstreamViews;
    }
}
