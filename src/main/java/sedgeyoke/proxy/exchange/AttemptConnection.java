package sedgeyoke.proxy.exchange;

import sedgeyoke.policy.LoadBalancingPolicy.Outcome;

/** Stops an attempt on the connection that its request was written to. Event loop only. */
public interface AttemptConnection {
    /** Whether this attempt is the one in flight on the connection. */
    boolean carries(Attempt attempt);

    /** Whether the connection was made to the process that the endpoint list means. */
    boolean reachesListedProcess();

    /** Ends the attempt in flight with this outcome and closes the connection. */
    void stop(Outcome outcome);
}
