package sedgeyoke.proxy;

import io.netty.util.concurrent.Future;

/**
 * One attempt of an exchange at an upstream. It ends once, whatever happens first; see {@link AttemptListener#ended}.
 * Times are microseconds of the policy's clock.
 */
final class Attempt {
    final Exchange exchange;
    /** Its index among the attempts of the exchange. */
    final int number;

    final String upstream;
    final long startTimeMicros;
    /** When we stop waiting for it. */
    final long deadlineMicros;
    /**
     * From then on it must not be written: upstreams may have forgotten the idempotency key of an earlier attempt that
     * may have been executed.
     */
    final long resendDeadlineMicros;
    /** The connection that its request was written to; null before. */
    UpstreamConnection connection;
    /** Whether the kernel has the last byte of the request: from then on it may be executed. */
    boolean written;

    boolean ended;
    /** Whether it was already put off once because the event loop was late. */
    boolean deferredUntilRead;
    /** Since when the upstream can have the complete request: the start, or the last byte of a streamed body. */
    long requestCompleteTimeMicros;
    /** When the first part of a streamed or slow response arrived; 0 for none. */
    long responseStartTimeMicros;
    /** Whether its response is being streamed to the client. */
    boolean responseStreaming;
    /** Whether the upstream may have executed it: true until its outcome proves the opposite. */
    boolean mayHaveRun = true;
    /** Ends the attempt at a timeout of its own; null if it may wait as long as the exchange. */
    Future<?> timeoutTimer;

    Attempt(
            Exchange exchange,
            int number,
            String upstream,
            long startTimeMicros,
            long deadlineMicros,
            long resendDeadlineMicros) {
        this.exchange = exchange;
        this.number = number;
        this.upstream = upstream;
        this.startTimeMicros = startTimeMicros;
        this.requestCompleteTimeMicros = startTimeMicros;
        this.deadlineMicros = deadlineMicros;
        this.resendDeadlineMicros = resendDeadlineMicros;
    }
}
