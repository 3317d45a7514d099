package sedgeyoke.proxy.exchange;

import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.policy.SerializedEvents;
import sedgeyoke.proxy.common.RateLimitedLog;

/**
 * Delivers events to the policy one after another and catches its exceptions: if it throws while it handles an event of
 * an exchange, the exchange is ended, as the policy may never do so. Event loop only.
 */
public final class PolicyEvents {
    private final SerializedEvents events = new SerializedEvents();
    private final RateLimitedLog log;
    private LoadBalancingPolicy policy;
    private FailureHandler failureHandler;

    /** Ends an exchange that the policy failed to handle. */
    public interface FailureHandler {
        /** Called each time that the policy throws while it handles an event of the exchange. */
        void policyFailed(Exchange exchange);
    }

    /** Creates the queue of events; exceptions of the policy are logged. */
    public PolicyEvents(RateLimitedLog log) {
        this.log = log;
    }

    /** Sets the policy and the handler of its failures. Must be called once, before the first event. */
    public void connect(LoadBalancingPolicy receiver, FailureHandler handler) {
        policy = receiver;
        failureHandler = handler;
    }

    /** The policy; to be called within {@link #deliver} only. */
    public LoadBalancingPolicy policy() {
        return policy;
    }

    /** Runs an event that concerns no single exchange: at once, or after the event that is being handled. */
    public void deliver(Runnable event) {
        events.handle(() -> {
            try {
                event.run();
            } catch (RuntimeException e) {
                logFailure(e);
            }
        });
    }

    /** Runs an event of an exchange: at once, or after the event that is being handled. */
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
        log.line("the policy threw an exception: " + failure + " at " + failure.getStackTrace()[0]);
    }
}
