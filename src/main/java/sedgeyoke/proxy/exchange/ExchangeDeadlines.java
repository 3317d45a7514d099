package sedgeyoke.proxy.exchange;

import java.util.function.Consumer;
import sedgeyoke.body.BodyLimits;
import sedgeyoke.body.ResponseDeadline;
import sedgeyoke.body.UploadArrival;
import sedgeyoke.proxy.common.ReadBarrier;

/**
 * Computes the time by which the response of each exchange must be sent, and runs a timer shortly before it. Event loop
 * only; times are microseconds of the policy's clock.
 */
public final class ExchangeDeadlines {
    /** Time reserved before the client's deadline for the response to reach the client. */
    private static final long RESPONSE_TRANSIT_MICROS = 6_000;
    /** Estimated time that a request took to arrive; its time budget starts when the client sends it. */
    private static final long REQUEST_TRANSIT_MICROS = 2_000;

    private final ReadBarrier reads;
    private final PolicyClock clock;
    private final BodyLimits bodyLimits;
    private Consumer<Exchange> expiryHandler;
    /** The time by which the last response must be sent; limits all deadlines during a graceful shutdown. */
    private long lastResponseMicros = Long.MAX_VALUE;
    /** The time from which requests are rejected at once, as there is no time left to forward them. */
    private long lastRequestMicros = Long.MAX_VALUE;

    /**
     * Creates the deadlines; {@code reads} delays the end of an exchange until pending input is read: it may be the
     * response.
     */
    public ExchangeDeadlines(ReadBarrier reads, PolicyClock clock, BodyLimits bodyLimits) {
        this.reads = reads;
        this.clock = clock;
        this.bodyLimits = bodyLimits;
    }

    /** Sets the handler that runs when a deadline is near. Must be called once, before the first exchange. */
    public void setExpiryHandler(Consumer<Exchange> handler) {
        expiryHandler = handler;
    }

    /**
     * Limits the time of all responses and sets the time from which requests are rejected; later calls may change both.
     */
    public void limitTimes(long responseLimitMicros, long requestLimitMicros) {
        lastResponseMicros = responseLimitMicros;
        lastRequestMicros = requestLimitMicros;
    }

    /** Whether a graceful shutdown leaves no time for further requests. */
    boolean isTooLateForRequests() {
        return clock.now() >= lastRequestMicros;
    }

    /** Sets the first deadline of an exchange, and its timer. */
    void start(Exchange exchange) {
        // The budget starts with the last byte; until that has arrived, the upload limits apply.
        long uploadMicros = exchange.body.ended() ? 0 : bodyLimits.maxUploadMicros();
        long leftMicros = Math.min(
                exchange.request.timeLeftMicros()
                        + uploadMicros
                        - REQUEST_TRANSIT_MICROS
                        - exchange.waitedMicros
                        - clock.readDelayMicros(exchange.onNewConnection),
                lastResponseMicros - clock.now());
        exchange.deadlineMicros = clock.now() + leftMicros;
        exchange.uploadDeadlineMicros = exchange.deadlineMicros;
        startTimer(exchange, leftMicros);
    }

    /**
     * Restarts the deadline of a streamed request whose last byte arrived at {@code arrivedMicros}, whether or not it
     * was read and forwarded: the client's time runs out although an upstream or the policy keeps the request waiting.
     * With {@link UploadArrival#NOT_ARRIVED} the limits on uploads apply again.
     */
    public void requestArrived(Exchange exchange, long arrivedMicros) {
        boolean done = exchange.answered && exchange.allAttemptsEnded();
        if (done || exchange.deadlineTimer == null) {
            return; // a response that began before the end of the upload still has a deadline
        }
        exchange.deadlineTimer.cancel();
        long budgetEndMicros = arrivedMicros == UploadArrival.NOT_ARRIVED
                ? exchange.uploadDeadlineMicros
                : arrivedMicros + exchange.request.timeLeftMicros() - REQUEST_TRANSIT_MICROS;
        exchange.deadlineMicros = Math.min(budgetEndMicros, lastResponseMicros);
        startTimer(exchange, exchange.deadlineMicros - clock.now());
    }

    /** Runs {@code handler} at the end of the time that a response of unknown length has after the deadline. */
    void startGracePeriod(Exchange exchange, Runnable handler) {
        long leftMicros = exchange.deadlineMicros + ResponseDeadline.GRACE_MICROS - clock.now();
        exchange.deadlineTimer = reads.schedule(handler, leftMicros);
    }

    private void startTimer(Exchange exchange, long leftMicros) {
        exchange.deadlineTimer =
                reads.schedule(() -> expiryHandler.accept(exchange), leftMicros - RESPONSE_TRANSIT_MICROS);
    }
}
