package sedgeyoke.proxy;

import java.util.Set;
import sedgeyoke.policy.LoadBalancingPolicy;

/**
 * The way to the decision module for features that stand beside the balancer. All calls are made on the balancer's
 * event loop.
 */
public interface ModulePort {
    /** The module's clock: microseconds, the wall clock of the start carried on by the monotonic one. */
    long now();

    /**
     * Hands the module an event in its turn: at once, or after the event that is being handled. It must not be called
     * from within the module's own actions in any other way.
     */
    void deliver(Runnable event);

    /** The module; to be called from within {@link #deliver} only. */
    LoadBalancingPolicy module();

    /** What the tier has agreed is out by hand, beside what this balancer has been told: nobody sends to either. */
    void agreedOut(Set<String> upstreams);

    /** Writes a line to the log, at its bounded rate. */
    void log(String line);
}
