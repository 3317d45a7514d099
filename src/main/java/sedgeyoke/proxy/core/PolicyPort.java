package sedgeyoke.proxy.core;

import java.util.Set;
import sedgeyoke.policy.LoadBalancingPolicy;

/** Access to the policy for features other than the balancer itself. All methods are called on the event loop. */
public interface PolicyPort {
    /** The policy's clock, in microseconds: the wall clock at the start, advanced by the monotonic clock. */
    long now();

    /**
     * Runs an event of the policy: at once, or after the one that is being handled. Nothing may call the policy from
     * within its own actions in another way.
     */
    void deliver(Runnable event);

    /** The policy; to be called within {@link #deliver} only. */
    LoadBalancingPolicy policy();

    /** Takes over which upstreams are cordoned for the whole fleet; this balancer's own cordons stay in force, too. */
    void setFleetCordons(Set<String> upstreams);

    /** Writes a line to the log, at its limited rate. */
    void log(String line);
}
