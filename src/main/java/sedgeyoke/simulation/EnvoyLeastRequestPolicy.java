package sedgeyoke.simulation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Envoy's weighted least request for unequal weights: weighted round robin with weight / (active requests + 1)^bias,
 * bias 1 (Envoy documentation, "Supported load balancers", section "Weighted least request"). All weights are 1.
 * Upstreams are chosen by smooth weighted round robin instead of Envoy's earliest deadline first scheduler.
 */
final class EnvoyLeastRequestPolicy extends BaselinePolicy {
    /** The current weight of smooth weighted round robin, by upstream. */
    private final Map<KnownUpstream, Double> currentWeights = new HashMap<>();

    EnvoyLeastRequestPolicy(Settings settings, Actions actions) {
        super(settings, actions);
    }

    @Override
    KnownUpstream choose(long now, List<KnownUpstream> candidates) {
        double totalWeight = 0;
        KnownUpstream best = null;
        double bestWeight = 0;
        for (KnownUpstream candidate : candidates) {
            double weight = 1.0 / (candidate.inFlight() + 1);
            totalWeight += weight;
            double currentWeight = currentWeights.getOrDefault(candidate, 0.0) + weight;
            currentWeights.put(candidate, currentWeight);
            if (best == null || currentWeight > bestWeight) {
                best = candidate;
                bestWeight = currentWeight;
            }
        }
        currentWeights.put(best, bestWeight - totalWeight);
        return best;
    }
}
