package sedgeyoke.proxy.exchange;

import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.policy.SerializedEvents;
import sedgeyoke.proxy.common.RateLimitedLog;

/**
 * Hands the policy its events one after another, and contains its failures: if it throws while it handles an event of
 * an exchange, that exchange is ended here, as nothing else will. Event loop only.
 */
public final class PolicyEvents {
    private final SerializedEvents events = new SerializedEvents();
    private final RateLimitedLog log;
    private LoadBalancingPolicy policy;
    private FailureHandler failureHandler;

    /** Ends an exchange that the policy failed to handle. */
    public interface FailureHandler {
        /** Called once for each event of the exchange that the policy threw at. */
        void policyFailed(Exchange exchange);
    }

    /** Failures of the policy are written to this log. */
    public PolicyEvents(RateLimitedLog log) {
        this.log = log;
    }

    /** Must be called once, before the first event. */
    public void connect(LoadBalancingPolicy receiver, FailureHandler handler) {
        policy = receiver;
        failureHandler = handler;
    }

    /** The policy; to be called within {@link #deliver} only. */
    public LoadBalancingPolicy policy() {
        return policy;
    }

    /** Runs an event that concerns no single exchange: at once, or after the one that is being handled. */
    public void deliver(Runnable event) {
        events.handle(() -> {
            try {
                event.run();
            } catch (RuntimeException e) {
                logFailure(e);
            }
        });
    }

    /** Runs an event of an exchange: at once, or after the one that is being handled. */
    public void deliver(Exchange exchange, Runnable event) {
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
