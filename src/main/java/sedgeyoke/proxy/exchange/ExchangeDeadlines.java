package sedgeyoke.proxy.exchange;

import java.util.function.Consumer;
import sedgeyoke.body.BodyLimits;
import sedgeyoke.proxy.common.ReadBarrier;

/**
 * Computes until when the response of each exchange must be out, and runs a timer shortly before that. Event loop only;
 * times are microseconds of the policy's clock.
 */
public final class ExchangeDeadlines {
    /** The response must be out so long before the client's deadline: the way back takes time, too. */
    private static final long RESPONSE_TRANSIT_MICROS = 6_000;
    /** What a request took to arrive: its budget counts from the client's sending. */
    private static final long REQUEST_TRANSIT_MICROS = 2_000;

    private final ReadBarrier reads;
    private final PolicyClock clock;
    private final BodyLimits bodyLimits;
    private Consumer<Exchange> expiryHandler;
    /** When the last response must be out; limits all deadlines during a graceful shutdown. */
    private long lastResponseMicros = Long.MAX_VALUE;
    /** From then on requests are rejected at once, as there is no time left to forward them. */
    private long lastRequestMicros = Long.MAX_VALUE;

    /** A deadline ends an exchange once what {@code reads} waits for is read: that may be its response. */
    public ExchangeDeadlines(ReadBarrier reads, PolicyClock clock, BodyLimits bodyLimits) {
        this.reads = reads;
        this.clock = clock;
        this.bodyLimits = bodyLimits;
    }

    /** Must be called once, before the first exchange; the handler runs when a deadline is near. */
    public void connect(Consumer<Exchange> handler) {
        expiryHandler = handler;
    }

    /** Limits the time of all responses, and from when on requests are rejected; both may move with each call. */
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
        // The budget counts from the last byte; until that has arrived, the limits on uploads hold.
        long uploadMicros = exchange.body.ended() ? 0 : bodyLimits.maxUploadMicros();
        long leftMicros = Math.min(
                exchange.request.timeLeftMicros()
                        + uploadMicros
                        - REQUEST_TRANSIT_MICROS
                        - exchange.waitedMicros
                        - clock.readDelayMicros(exchange.onNewConnection),
                lastResponseMicros - clock.now());
        exchange.deadlineMicros = clock.now() + leftMicros;
        startTimer(exchange, leftMicros);
    }

    /** Sets the deadline anew, as the last byte of a streamed body has gone out only now. */
    void restartAfterUpload(Exchange exchange) {
        exchange.deadlineTimer.cancel();
        long leftMicros =
                Math.min(exchange.request.timeLeftMicros() - REQUEST_TRANSIT_MICROS, lastResponseMicros - clock.now());
        exchange.deadlineMicros = clock.now() + leftMicros;
        startTimer(exchange, exchange.deadlineMicros - clock.now());
    }

    private void startTimer(Exchange exchange, long leftMicros) {
        exchange.deadlineTimer =
                reads.schedule(() -> expiryHandler.accept(exchange), leftMicros - RESPONSE_TRANSIT_MICROS);
    }
}
