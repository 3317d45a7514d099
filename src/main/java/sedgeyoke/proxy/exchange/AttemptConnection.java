package sedgeyoke.proxy.exchange;

import sedgeyoke.policy.LoadBalancingPolicy.Outcome;

/** The connection that an attempt's request was written to. Event loop only. */
public interface AttemptConnection {
    /** Whether this attempt is the one in flight on the connection. */
    boolean carries(Attempt attempt);

    /** Ends the attempt in flight with this outcome and closes the connection. */
    void stop(Outcome outcome);
}
