package sedgeyoke.simulator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.policy.UtilizationWeightedPolicy;

/**
 * The instances of the policy, by their numbers; they share nothing. An exception of one goes into the reply as a bug
 * of that instance, and the others go on.
 */
final class PolicyInstances {
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final ReplyWriter replies;

    PolicyInstances(ReplyWriter replies) {
        this.replies = replies;
    }

    /** A policy and the names of the values in its load reports. */
    private record Instance(LoadBalancingPolicy policy, List<String> reportNames) {}

    void create(int number, long now, SettingsReader.InstanceSettings settings, long seed) {
        reportingBugs(number, () -> {
            LoadBalancingPolicy policy =
                    new UtilizationWeightedPolicy(settings.settings(), seed, replies.forInstance(number));
            instances.put(number, new Instance(policy, settings.reportNames()));
            policy.start(now);
        });
    }

    void destroy(int number) {
        instances.remove(number);
    }

    /** Hands an event to an instance; throws if there is no such instance. */
    void notify(int number, Consumer<LoadBalancingPolicy> event) throws InvalidInputException {
        Instance instance = instances.get(number);
        if (instance == null) {
            throw new InvalidInputException("an event for instance " + number + ", which does not exist");
        }
        reportingBugs(number, () -> event.accept(instance.policy()));
    }

    /** The names of the values in the load reports of an instance; none if there is no such instance. */
    List<String> reportNames(int number) {
        Instance instance = instances.get(number);
        return instance == null ? List.of() : instance.reportNames();
    }

    private void reportingBugs(int number, Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            replies.bug(number, e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }
}
