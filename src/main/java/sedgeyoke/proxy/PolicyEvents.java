package sedgeyoke.proxy;

import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.policy.SerializedEvents;

/**
 * Hands the policy its events one after another, and contains its failures: if it throws while it handles an event of
 * an exchange, that exchange is ended here, as nothing else will. Event loop only.
 */
final class PolicyEvents {
    private final SerializedEvents events = new SerializedEvents();
    private final RateLimitedLog log;
    private LoadBalancingPolicy policy;
    private FailureHandler failureHandler;

    /** Ends an exchange that the policy failed to handle. */
    interface FailureHandler {
        void policyFailed(Exchange exchange);
    }

    PolicyEvents(RateLimitedLog log) {
        this.log = log;
    }

    /** Must be called once, before the first event. */
    void connect(LoadBalancingPolicy receiver, FailureHandler handler) {
        policy = receiver;
        failureHandler = handler;
    }

    LoadBalancingPolicy policy() {
        return policy;
    }

    /** Runs an event that concerns no single exchange: at once, or after the one that is being handled. */
    void deliver(Runnable event) {
        events.handle(() -> {
            try {
                event.run();
            } catch (RuntimeException e) {
                logFailure(e);
            }
        });
    }

    /** Runs an event of an exchange: at once, or after the one that is being handled. */
    void deliver(Exchange exchange, Runnable event) {
        events.handle(() -> {
            try {
                event.run();
            } catch (RuntimeException e) {
                logFailure(e);
                failureHandler.policyFailed(exchange);
            }
        });
    }

    private void logFailure(RuntimeException failure) {
        log.line("the policy failed: " + failure + " at " + failure.getStackTrace()[0]);
    }
}
