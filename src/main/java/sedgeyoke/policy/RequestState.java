package sedgeyoke.policy;

import java.util.ArrayList;
import java.util.List;
import sedgeyoke.policy.LoadBalancingPolicy.Request;
import sedgeyoke.policy.LoadBalancingPolicy.RequestClass;

/** One request that is owed a final response, with its attempts. */
final class RequestState {
    final Request request;
    final RequestClass requestClass;
    final long number;
    final long arrivedAt;
    final long deadline;
    long objectiveAt; // when its latency objective is missed
    final List<Attempt> attempts = new ArrayList<>(1);
    double cost;
    double priority;
    int outstanding;
    boolean ended;
    boolean streaming;
    UpstreamState affinityUpstream;
    long affinityGeneration = -1;

    RequestState(Request request, RequestClass requestClass, long number, long now) {
        this.request = request;
        this.requestClass = requestClass;
        this.number = number;
        this.arrivedAt = now;
        this.deadline = now + request.timeLeftMicros();
        long stretch = (long) (requestClass.objectiveStretch() * request.expectedWork());
        this.objectiveAt = Math.min(deadline, now + (requestClass.latencyObjectiveMicros() + stretch));
    }

    /** The attempt of that number; null if there is none. */
    Attempt attempt(int index) {
        return index < 0 || index >= attempts.size() ? null : attempts.get(index);
    }

    /** The first attempt that an upstream may have run or may still run; null if there is none. */
    Attempt firstThatMayHaveRun() {
        return attempts.stream().filter(each -> each.mayHaveRun).findFirst().orElse(null);
    }
}
