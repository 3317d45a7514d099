package sedgeyoke.proxy.exchange;

import sedgeyoke.policy.LoadBalancingPolicy.Outcome;

/** Receives the progress of attempts from the connection pool. All methods are called on the event loop. */
public interface AttemptListener {
    /**
     * The response is too long or too slow to be buffered and is streamed to the client from now on. {@link #ended} is
     * still called, without a response, once the stream is complete or has failed.
     *
     * @return the receiver of the body, or null if the exchange already has a response
     */
    ResponseStream.Sink responseStreaming(Attempt attempt, ResponseStream.Head head, ResponseStream.Source source);

    /**
     * The first part of a successful response has arrived, but not all of it: the attempt is a transfer from now on.
     */
    void responseStarted(Attempt attempt);

    /** This attempt begins to stream a long request body; no other attempt can send it. */
    void requestStreaming(Attempt attempt);

    /** The last byte of the request was handed to the kernel: the upstream may execute it from now on. */
    void requestWritten(Attempt attempt);

    /** The last byte of a streamed request body was written; called after {@link #requestWritten}. */
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
