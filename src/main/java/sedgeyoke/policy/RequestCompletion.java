package sedgeyoke.policy;

import sedgeyoke.policy.LoadBalancingPolicy.Actions;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;

/** Ends requests: this class alone sends final responses to those that no upstream has served. */
final class RequestCompletion {
    private final Actions actions;
    private final boolean mayCancel;
    private final AdmissionControl admission;
    private final RequestQueue queue;
    private final RequestTable requests;

    RequestCompletion(
            Settings settings, Actions actions, AdmissionControl admission, RequestQueue queue, RequestTable requests) {
        this.actions = actions;
        this.mayCancel = settings.limits().cancel();
        this.admission = admission;
        this.queue = queue;
        this.requests = requests;
    }

    /** The final response to a request that was not served: a rejection where allowed, else a failure. */
    void finishUnserved(RequestState request, UnservedReason reason, long nowMicros) {
        request.unservedReason = reason;
        if (RetryPolicy.mayReject(request)) {
            actions.reject(request.request.id(), 0);
            admission.recordRejection(request, nowMicros);
        } else {
            actions.fail(request.request.id());
        }
        conclude(request);
    }

    /** Ends a request that is owed no response any more, and cancels the attempts that are left of it. */
    void conclude(RequestState request) {
        queue.remove(request);
        request.ended = true;
        if (mayCancel && !request.streaming) {
            cancelOutstanding(request);
        }
        requests.removeIfDone(request);
    }

    private void cancelOutstanding(RequestState request) {
        for (int number = 0; number < request.attempts.size(); number++) {
            if (request.attempts.get(number).outstanding) {
                actions.cancel(request.request.id(), number);
            }
        }
    }
}
