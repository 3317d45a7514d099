package sedgeyoke.model;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Rule 2: nodes execute only requests that clients sent. A request that is not safe takes effect at most once, counting
 * all retries with its idempotency key, and never if its client got a rejection. There is no tolerance.
 */
final class ExecutionRule {
    private final ViolationLog violations;
    private final Map<String, Integer> effectsByKey = new HashMap<>();
    /** Requests for which execution after a rejection was already reported as a violation. */
    private final Set<String> reportedRequestIds = new HashSet<>();

    ExecutionRule(ViolationLog violations) {
        this.violations = violations;
    }

    /** Records that a node received a request that no client sent. */
    void unknownRequest(String requestId, String node) {
        violations.add(new Violation.UnknownRequest(requestId, node));
    }

    /** Checks the execution of an attempt that took effect at a node. */
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
     * Counts the requests that took effect before their rejection. The count is taken at the end of a run, because the
     * rejection that makes the execution a violation comes later than the execution.
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
