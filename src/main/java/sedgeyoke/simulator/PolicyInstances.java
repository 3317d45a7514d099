package sedgeyoke.simulator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.policy.UtilizationWeightedPolicy;

/**
 * Holds the policy instances by number; instances share no state. If one throws an exception, the reply reports it as a
 * bug of that instance, and all instances continue to receive events.
 */
final class PolicyInstances {
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final ReplyWriter replies;

    PolicyInstances(ReplyWriter replies) {
        this.replies = replies;
    }

    /** A policy, and the names of the values in the load reports that it gets. */
    private record Instance(LoadBalancingPolicy policy, List<String> reportNames) {}

    void create(int number, long now, SettingsReader.InstanceSettings settings, long seed) {
        runReportingExceptions(number, () -> {
            LoadBalancingPolicy policy =
                    new UtilizationWeightedPolicy(settings.settings(), seed, replies.forInstance(number));
            instances.put(number, new Instance(policy, settings.reportNames()));
            policy.start(now);
        });
    }

    void destroy(int number) {
        instances.remove(number);
    }

    /** Delivers an event to an instance; throws if the instance does not exist. */
    void notify(int number, Consumer<LoadBalancingPolicy> event) throws InvalidInputException {
        Instance instance = instances.get(number);
        if (instance == null) {
            throw new InvalidInputException("an event for instance " + number + ", which does not exist");
        }
        runReportingExceptions(number, () -> event.accept(instance.policy()));
    }

    /** Names of the values in an instance's load reports; empty if the instance does not exist. */
    List<String> reportNames(int number) {
        Instance instance = instances.get(number);
        return instance == null ? List.of() : instance.reportNames();
    }

    private void runReportingExceptions(int number, Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            replies.reportException(number, e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }
}
