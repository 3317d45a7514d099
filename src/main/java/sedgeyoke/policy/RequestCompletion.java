package sedgeyoke.policy;

import sedgeyoke.policy.LoadBalancingPolicy.Actions;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;

/** Ends requests. Only this class sends final responses to requests that no upstream has served. */
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

    /** Ends a request that was not served with a rejection if a retry is harmless, else with a failure. */
    void finishUnserved(RequestState request, UnservedReason reason, long nowMicros) {
        request.unservedReason = reason;
        actions.unserved(request.request.id(), reason.label());
        if (RetryPolicy.mayReject(request)) {
            actions.reject(request.request.id(), 0);
            admission.recordRejection(request, nowMicros);
        } else {
            actions.fail(request.request.id());
        }
        conclude(request);
    }

    /** Ends a request that needs no response any more, and cancels its outstanding attempts. */
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
