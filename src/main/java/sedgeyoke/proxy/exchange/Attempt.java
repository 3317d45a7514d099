package sedgeyoke.proxy.exchange;

import sedgeyoke.body.PartialRequestPolicy.BodyProgress;
import sedgeyoke.proxy.common.ReadBarrier;

/**
 * Holds the state of one attempt of an exchange at an upstream. It ends once, whatever happens first; see
 * {@link AttemptListener#ended}. Times are microseconds of the policy's clock.
 */
public final class Attempt {
    private static final long NOT_STARTED = 0;

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
    AttemptConnection connection;
    /** Whether the kernel has the last byte of the request: from then on it may be executed. */
    boolean written;

    boolean ended;
    private boolean deferredUntilRead;
    /** Since when the upstream can have the complete request: the start, or the last byte of a streamed body. */
    long requestCompleteTimeMicros;
    /** When the first part of a streamed or slow response arrived; see {@link #hasResponseStarted}. */
    long responseStartTimeMicros = NOT_STARTED;
    /** Whether its response is being streamed to the client. */
    boolean responseStreaming;
    /** Whether the upstream may have executed it: true until its outcome proves the opposite. */
    boolean mayHaveRun = true;
    /** Ends the attempt at a timeout of its own; null if it may wait as long as the exchange. */
    ReadBarrier.Timer timeoutTimer;

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

    /** The exchange that it belongs to. */
    public Exchange exchange() {
        return exchange;
    }

    /** Its index among the attempts of the exchange. */
    public int number() {
        return number;
    }

    /** The id of the upstream that it goes to. */
    public String upstream() {
        return upstream;
    }

    /** When we stop waiting for it. */
    public long deadlineMicros() {
        return deadlineMicros;
    }

    /** From when on it must not be written any more; {@link Long#MAX_VALUE} for no such time. */
    public long resendDeadlineMicros() {
        return resendDeadlineMicros;
    }

    /** Records the connection that its request is written to. */
    public void sentOn(AttemptConnection attemptConnection) {
        connection = attemptConnection;
    }

    /** Whether the kernel has the last byte of the request: from then on it may be executed. */
    public boolean written() {
        return written;
    }

    /** How much of the body of its request was received and forwarded. */
    BodyProgress bodyProgress() {
        if (exchange.body.isForwarding()) {
            return written ? BodyProgress.FULLY_FORWARDED : BodyProgress.PARTLY_FORWARDED;
        }
        return exchange.body.isFullyBuffered() ? BodyProgress.FULLY_BUFFERED : BodyProgress.BUFFERING;
    }

    /** Whether the first part of a streamed or slow response has arrived. */
    boolean hasResponseStarted() {
        return responseStartTimeMicros != NOT_STARTED;
    }

    /** Whether its outcome is known. */
    public boolean ended() {
        return ended;
    }

    /** Records that it was put off until the event loop has read what has arrived meanwhile. */
    public void deferUntilRead() {
        deferredUntilRead = true;
    }

    /** Whether it was already put off once because the event loop was late. */
    public boolean deferredUntilRead() {
        return deferredUntilRead;
    }
}
