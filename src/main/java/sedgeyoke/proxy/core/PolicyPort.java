package sedgeyoke.proxy.core;

import java.util.Set;
import sedgeyoke.policy.LoadBalancingPolicy;

/** Access to the policy for features other than the balancer itself. All methods are called on the event loop. */
public interface PolicyPort {
    /** The policy's clock, in microseconds: the wall clock at the start, advanced by the monotonic clock. */
    long now();

    /**
     * Runs an event of the policy: at once, or after the event that is being handled. Code that runs within an action
     * of the policy must not call the policy in any other way.
     */
    void deliver(Runnable event);

    /** The policy; to be called within {@link #deliver} only. */
    LoadBalancingPolicy policy();

    /**
     * Replaces the set of upstreams that are cordoned for the whole fleet; this balancer's own cordons stay in force.
     */
    void setFleetCordons(Set<String> upstreams);

    /** Writes a line to the rate-limited log. */
    void log(String line);
}
