package sedgeyoke.simulator;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.policy.UtilizationWeightedPolicy;

/** Keeps one module for each instance and hands it its events; they share nothing. */
final class PolicyInstances {
    private final Map<Integer, LoadBalancingPolicy> instances = new HashMap<>();
    private final ReplyWriter replies;

    PolicyInstances(ReplyWriter replies) {
        this.replies = replies;
    }

    void create(int who, long now, long seed, LoadBalancingPolicy.Settings settings) {
        guarded(who, () -> {
            LoadBalancingPolicy balancer = new UtilizationWeightedPolicy(settings, seed, replies.forInstance(who));
            instances.put(who, balancer);
            balancer.start(now);
        });
    }

    void destroy(int who) {
        instances.remove(who);
    }

    void tell(int who, Consumer<LoadBalancingPolicy> event) throws InvalidInputException {
        LoadBalancingPolicy balancer = instances.get(who);
        if (balancer == null) {
            throw new InvalidInputException("an event for instance " + who + ", which does not exist");
        }
        guarded(who, () -> event.accept(balancer));
    }

    private void guarded(int who, Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            StackTraceElement[] where = e.getStackTrace();
            replies.bug(who, e + (where.length > 0 ? " at " + where[0] : ""));
        }
    }
}
