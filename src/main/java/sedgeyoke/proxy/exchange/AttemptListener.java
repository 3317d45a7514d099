package sedgeyoke.proxy.exchange;

import sedgeyoke.policy.LoadBalancingPolicy.Outcome;

/** Receives the progress of attempts from the connection pool. All methods are called on the event loop. */
public interface AttemptListener {
    /**
     * A response that is too long or too slow to be buffered begins, and is streamed to the client from here on.
     * {@link #ended} is still called once it is complete or broken, without a response.
     *
     * @return where its parts go, or null if the exchange already has a response
     */
    ResponseStream.Sink responseStreaming(Attempt attempt, ResponseStream.Head head, ResponseStream.Source source);

    /**
     * The first part of a successful response has arrived, but not all of it: the attempt is a transfer from now on.
     */
    void responseStarted(Attempt attempt);

    /** A long request body begins to go out on this attempt; it cannot be sent on any other. */
    void requestStreaming(Attempt attempt);

    /** The kernel has the last byte of the request: the upstream may execute it from now on. */
    void requestWritten(Attempt attempt);

    /** The last byte of a streamed request body has gone out; called after {@link #requestWritten}. */
    void requestBodyComplete(Attempt attempt);

    /** How late the event loop currently runs its tasks, in microseconds. */
    long loopDelayMicros();

    /**
     * The attempt has ended. Calls after the first one for an attempt are ignored.
     *
     * @param response null unless a complete response was read and buffered
     */
    void ended(Attempt attempt, Outcome outcome, UpstreamResponse response);
}
