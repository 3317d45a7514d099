package sedgeyoke.simulation;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.policy.LoadBalancingPolicy.Actions;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;
import sedgeyoke.policy.UtilizationWeightedPolicy;

/**
 * The policies that a simulation can run, by name: the product's own policy, and baselines from published descriptions
 * for comparison. The baselines are used in simulations only.
 */
public final class BaselinePolicies {
    /** The name of the product's policy. */
    public static final String OURS = "sedgeyoke";

    private static final Map<String, Factory> FACTORIES = new LinkedHashMap<>();

    static {
        FACTORIES.put(
                OURS, (settings, seed, actions, upstreams) -> new UtilizationWeightedPolicy(settings, seed, actions));
        FACTORIES.put("random", (settings, seed, actions, upstreams) -> new RandomPolicy(settings, seed, actions));
        FACTORIES.put(
                "round-robin", (settings, seed, actions, upstreams) -> new RoundRobinPolicy(settings, seed, actions));
        FACTORIES.put(
                "two-choices", (settings, seed, actions, upstreams) -> new TwoChoicesPolicy(settings, seed, actions));
        FACTORIES.put(
                "envoy-least-request",
                (settings, seed, actions, upstreams) -> new EnvoyLeastRequestPolicy(settings, actions));
        FACTORIES.put(
                "shortest-queue",
                (settings, seed, actions, upstreams) -> new ShortestQueuePolicy(settings, seed, actions));
        FACTORIES.put("prequal", (settings, seed, actions, upstreams) -> new PrequalPolicy(settings, seed, actions));
        FACTORIES.put("oracle", OraclePolicy::new);
    }

    private BaselinePolicies() {}

    /** Creates the policy of one forwarder. */
    interface Factory {
        /** {@code upstreams} is the true state of all upstreams, which no real policy can see. */
        LoadBalancingPolicy create(Settings settings, long seed, Actions actions, SimulatedUpstreams upstreams);
    }

    /** The names of all policies. */
    public static Set<String> names() {
        return FACTORIES.keySet();
    }

    /** Returns the factory of a policy; throws if there is none of that name. */
    static Factory factory(String name) {
        Factory factory = FACTORIES.get(name);
        if (factory == null) {
            throw new IllegalArgumentException("no policy is named " + name + "; there are " + names());
        }
        return factory;
    }
}
