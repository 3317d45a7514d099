package sedgeyoke.proxy.exchange;

import sedgeyoke.body.PartialRequestPolicy.BodyProgress;
import sedgeyoke.body.ResponseDeadline;
import sedgeyoke.proxy.common.ReadBarrier;

/**
 * Holds the state of one attempt of an exchange at an upstream. An attempt ends exactly once; see {@link
 * AttemptListener#ended}. Times are microseconds of the policy's clock.
 */
public final class Attempt {
    private static final long NOT_STARTED = 0;

    final Exchange exchange;
    /** The attempt's index among the attempts of the exchange. */
    final int number;

    final String upstream;
    final long startTimeMicros;
    /** When the balancer stops waiting for the response. */
    final long deadlineMicros;
    /**
     * It must not be written from this time on: upstreams may have dropped the idempotency key of an earlier attempt
     * that may have been executed, and would execute the request twice.
     */
    final long resendDeadlineMicros;
    /** The connection that the request was written to; null before. */
    AttemptConnection connection;
    /** Whether the last byte of the request was handed to the kernel; from then on the upstream may execute it. */
    boolean written;

    boolean ended;
    /** Whether the balancer has stopped the attempt. */
    boolean stopped;

    private boolean deferredUntilRead;
    /**
     * Earliest time at which the upstream can have the complete request: the start of the attempt, or the write of the
     * last byte of a streamed body.
     */
    long requestCompleteTimeMicros;
    /** When the first part of a streamed or slow response arrived; see {@link #hasResponseStarted}. */
    long responseStartTimeMicros = NOT_STARTED;
    /** The response that is being streamed to the client, or was; null if none was. */
    ResponseStream.Source streamedResponse;
    /** Whether the upstream may have executed the attempt: true until the outcome proves that it has not. */
    boolean mayHaveRun = true;
    /** Runs at the attempt's own timeout; null if only the deadline of the exchange applies. */
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

    /** The exchange that the attempt belongs to. */
    public Exchange exchange() {
        return exchange;
    }

    /** The attempt's index among the attempts of the exchange. */
    public int number() {
        return number;
    }

    /** The id of the upstream that the attempt goes to. */
    public String upstream() {
        return upstream;
    }

    /** When the balancer stops waiting for the response. */
    public long deadlineMicros() {
        return deadlineMicros;
    }

    /** The time from which the attempt must not be written any more; {@link Long#MAX_VALUE} if there is none. */
    public long resendDeadlineMicros() {
        return resendDeadlineMicros;
    }

    /** Records the connection that the request is written to. */
    public void sentOn(AttemptConnection attemptConnection) {
        connection = attemptConnection;
    }

    /** Whether the last byte of the request was handed to the kernel; from then on the upstream may execute it. */
    public boolean written() {
        return written;
    }

    /** How much of the request body was received and forwarded. */
    BodyProgress bodyProgress() {
        if (exchange.body.isForwarding()) {
            return written ? BodyProgress.FULLY_FORWARDED : BodyProgress.PARTLY_FORWARDED;
        }
        return exchange.body.isFullyBuffered() ? BodyProgress.FULLY_BUFFERED : BodyProgress.BUFFERING;
    }

    /** Whether the response is being streamed to the client, or was. */
    boolean isResponseStreaming() {
        return streamedResponse != null;
    }

    /** What the deadline of the exchange does to the attempt. */
    ResponseDeadline.Decision atDeadline() {
        return isResponseStreaming()
                ? ResponseDeadline.atDeadline(streamedResponse.progress())
                : ResponseDeadline.Decision.END;
    }

    /** Whether the attempt may have run at a process of which the zone and the cell are not known. */
    boolean mayHaveRunAtUnknownProcess() {
        return mayHaveRun && connection != null && !connection.reachesListedProcess();
    }

    /** Whether the first part of a streamed or slow response has arrived. */
    boolean hasResponseStarted() {
        return responseStartTimeMicros != NOT_STARTED;
    }

    /** Whether the outcome of the attempt is known. */
    public boolean ended() {
        return ended;
    }

    /** Records that the attempt was postponed until the event loop has read the pending input. */
    public void deferUntilRead() {
        deferredUntilRead = true;
    }

    /** Whether the attempt was already postponed once because the event loop was late. */
    public boolean deferredUntilRead() {
        return deferredUntilRead;
    }
}
