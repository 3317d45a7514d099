package sedgeyoke.model;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Rule 2: only what clients sent is executed; a request that is not safe has one effect at most, all retries with its
 * idempotency key included, and none if its client got a rejection. There is no tolerance.
 */
final class ExecutionRule {
    private final ViolationLog violations;
    private final Map<String, Integer> effectsByKey = new HashMap<>();
    /** Requests whose execution after a rejection is among the violations already. */
    private final Set<String> reportedRequestIds = new HashSet<>();

    ExecutionRule(ViolationLog violations) {
        this.violations = violations;
    }

    /** A node received a request that no client sent. */
    void unknownRequest(String requestId, String node) {
        violations.add(new Violation.UnknownRequest(requestId, node));
    }

    /** A node executed an attempt with an effect. */
    void executed(ObservedRequest request, String node) {
        request.addEffect();
        String key = request.idempotencyKey();
        int effectsOfKey = key == null ? 0 : effectsByKey.merge(key, 1, Integer::sum);
        if (request.effects() > 1 && !request.requestClass().safe()) {
            violations.add(new Violation.RepeatedEffect(request.id(), node));
        } else if (effectsOfKey > 1) {
            violations.add(new Violation.RepeatedKey(request.id(), node, key));
        }
        if (request.executedThoughRejected()) {
            reportedRequestIds.add(request.id());
            violations.add(new Violation.ExecutedAfterRejection(request.id(), node));
        }
    }

    /**
     * How many requests were executed before they were rejected. They are counted at the end of a run, as the answer
     * that makes the execution a violation comes after it.
     */
    int executedBeforeRejection(Iterable<ObservedRequest> requests) {
        int count = 0;
        for (ObservedRequest request : requests) {
            if (request.executedThoughRejected() && !reportedRequestIds.contains(request.id())) {
                count++;
            }
        }
        return count;
    }
}
