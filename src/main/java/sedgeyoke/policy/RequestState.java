package sedgeyoke.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.policy.LoadBalancingPolicy.Request;
import sedgeyoke.policy.LoadBalancingPolicy.RequestClass;

/** The state of a request from its arrival until its last attempt has ended. */
final class RequestState {
    final Request request;
    final RequestClass requestClass;
    /** The request's place in the order of arrival. */
    final long number;

    final long arrivedAtMicros;
    final long deadlineMicros;
    final List<AttemptState> attempts = new ArrayList<>(1);
    final KeyAffinity.CachedUpstream affinity = new KeyAffinity.CachedUpstream();
    /** The time from which on the request misses its latency objective. */
    long objectiveAtMicros;
    /** The hinted work of the request, or without a hint the mean response time of its class in microseconds. */
    double cost;
    /** Requests with a higher priority leave the queue sooner. */
    double priority;
    /** Whether the request needs no response any more. */
    boolean ended;
    /** Whether a response has started, after which there can be no other attempt. */
    boolean streaming;

    /** Why the request ended without an upstream's response, or null. */
    UnservedReason unservedReason;

    private int outstanding;

    RequestState(Request request, RequestClass requestClass, long number, long nowMicros) {
        this.request = request;
        this.requestClass = requestClass;
        this.number = number;
        this.arrivedAtMicros = nowMicros;
        this.deadlineMicros = nowMicros + request.timeLeftMicros();
        long stretch = (long) (requestClass.objectiveStretch() * request.expectedWork());
        long objective = requestClass.latencyObjectiveMicros() + stretch;
        this.objectiveAtMicros = Math.min(deadlineMicros, nowMicros + objective);
    }

    boolean hasWorkHint() {
        return request.expectedWork() > 0;
    }

    /** The attempt with that number; empty if there is none. */
    Optional<AttemptState> attempt(int index) {
        boolean exists = index >= 0 && index < attempts.size();
        return exists ? Optional.of(attempts.get(index)) : Optional.empty();
    }

    void begin(AttemptState attempt) {
        attempts.add(attempt);
        outstanding++;
    }

    void end(AttemptState attempt, Outcome outcome) {
        attempt.outstanding = false;
        attempt.mayHaveRun = !outcome.neverRan;
        outstanding--;
    }

    boolean hasOutstandingAttempt() {
        return outstanding > 0;
    }

    /** The first attempt that an upstream may have run or may still run; null if there is none. */
    AttemptState firstThatMayHaveRun() {
        for (AttemptState attempt : attempts) {
            if (attempt.mayHaveRun) {
                return attempt;
            }
        }
        return null;
    }

    boolean mayHaveRun() {
        return firstThatMayHaveRun() != null;
    }
}
