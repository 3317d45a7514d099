package sedgeyoke.proxy.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import sedgeyoke.body.BodyReservation;
import sedgeyoke.body.ResponseDeadline;
import sedgeyoke.body.ResponseProgress;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.proxy.exchange.Attempt;
import sedgeyoke.proxy.exchange.AttemptOutcomes;
import sedgeyoke.proxy.exchange.BodyAccumulator;
import sedgeyoke.proxy.exchange.ResponseStream;
import sedgeyoke.proxy.exchange.UpstreamResponse;

/**
 * Receives the responses on one connection, one after the other. A response is buffered up to a limit; if streaming is
 * enabled, a {@link ResponseForwarder} streams one that is longer or slow to the client. Event loop only.
 */
final class ResponseReceiver {
    /** A successful response that is still incomplete after this time is streamed; the same time as for a stall. */
    private static final long MAX_BUFFERING_MICROS = UpstreamContext.MAX_RESPONSE_STALL_MICROS;
    /** The largest read while a response is not streamed. */
    private static final int MAX_BUFFERING_READ_BYTES = 8 << 10;

    private static final long UNKNOWN_LENGTH = -1;

    private final UpstreamConnection connection;
    private final UpstreamContext context;
    private final BodyAccumulator buffered;
    /** The memory of a response that is not streamed. */
    private final BodyReservation reservation;

    private final ResponseStallGuard stallGuard;
    private final ResponseForwarder forwarder;

    private Channel channel;
    /** The head of the response whose body is being read; null between responses. */
    private HttpResponse head;
    /**
     * Whether the head read last was informational; such a response has no body, and the empty one that the decoder
     * produces is ignored.
     */
    private boolean informational;
    /** Whether the upstream closes the connection after the response read last. */
    private boolean closesConnection;

    /** When the head of the response was read. */
    private long headMicros;

    /** Whether the response has paused since its head was complete. */
    private boolean paused;

    private long bodyBytes;
    /** A response that was buffered completely and not yet handed over; null if there is none. */
    private UpstreamResponse response;

    ResponseReceiver(UpstreamConnection connection, UpstreamContext context) {
        this.connection = connection;
        this.context = context;
        this.buffered = new BodyAccumulator(context.maxBufferedBytes());
        this.reservation = context.bodyBudget().newReservation();
        this.stallGuard = new ResponseStallGuard(connection, context);
        this.forwarder = new ResponseForwarder(connection, context, stallGuard, this::progress);
    }

    void attach(Channel connected) {
        channel = connected;
        forwarder.attach(connected);
    }

    /** Handles the head of a response. */
    void receiveHead(HttpResponse received) {
        informational = received.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (informational) {
            return;
        }
        if (!connection.hasAttempt() || hasResponse() || isStreamComplete()) {
            connection.closeForStrayInput("a second response to one request, or one to none");
            return;
        }
        head = received;
        closesConnection = !HttpUtil.isKeepAlive(received);
        headMicros = context.nowMicros();
        paused = false;
        bodyBytes = 0;
        buffered.clear();
    }

    /** Handles a part of a response's body; the caller keeps ownership of the buffer. */
    void receiveContent(HttpContent content) {
        if (informational || head == null) {
            return;
        }
        if (!connection.hasAttempt()) {
            connection.closeForStrayInput("a part of a response whose request has ended");
            return;
        }
        ByteBuf part = content.content();
        bodyBytes += part.readableBytes();
        if (context.bodies().streaming() && bodyBytes > context.maxResponseBytes()) {
            // The head does not declare this length: the decoder has checked declared ones.
            failTooLong(context.maxResponseBytes());
            return;
        }
        if (!forwarder.isStreaming() && mustStream(part) && !startStreaming()) {
            return;
        }
        keepOrForward(part);
        if (content instanceof LastHttpContent last) {
            complete(last);
        }
    }

    /** Whether a response is too long to be buffered; if memory is scarce, successful ones are streamed earlier. */
    private boolean mustStream(ByteBuf part) {
        if (bodyBytes > context.maxBufferedBytes()) {
            return true;
        }
        return isSuccessful() && !tryReserve(MAX_BUFFERING_READ_BYTES + buffered.capacityWith(part.readableBytes()));
    }

    /** Reserves memory to buffer a response; a part of the budget is left for others if it can be streamed instead. */
    private boolean tryReserve(long bytes) {
        return context.bodies().streaming() ? reservation.tryGrowToSpare(bytes) : reservation.tryGrowTo(bytes);
    }

    private void keepOrForward(ByteBuf part) {
        if (!forwarder.isStreaming()) {
            bufferIfSuccessful(part);
        } else if (part.isReadable()) {
            forwarder.forward(part.retain());
        }
    }

    /** The bodies of other responses are never sent to clients. */
    private void bufferIfSuccessful(ByteBuf part) {
        if (isSuccessful()) {
            buffered.add(part);
        }
    }

    /** Returns how many bytes may be read next, if {@code wantedBytes} are wanted, and reserves memory for them. */
    int reserveRead(int wantedBytes) {
        return forwarder.incompleteSink().isPresent()
                ? forwarder.reserveRead(wantedBytes)
                : Math.min(wantedBytes, MAX_BUFFERING_READ_BYTES);
    }

    private void complete(LastHttpContent last) {
        if (forwarder.isStreaming()) {
            forwarder.end(last.trailingHeaders());
        } else {
            response = UpstreamResponse.of(head, buffered.take(), context.loadReportNames(), context.log());
        }
        head = null;
    }

    private void failTooLong(long maxBytes) {
        connection.failInvalidResponse("body longer than " + maxBytes + " bytes");
    }

    // ---- Start of streaming --------------------------------------------------------------------------

    /** Streams the response to the client from now on; false if that is not possible and the attempt has ended. */
    private boolean startStreaming() {
        if (!context.bodies().streaming() || !isSuccessful()) {
            connection.failInvalidResponse(
                    "body longer than " + context.maxBufferedBytes() + " bytes, or no memory for it");
            return false;
        }
        ResponseStream.Head streamedHead = new ResponseStream.Head(
                head.headers().get(HttpHeaderNames.CONTENT_TYPE), HttpUtil.getContentLength(head, UNKNOWN_LENGTH));
        long heldBytes = reservation.bytes() + MAX_BUFFERING_READ_BYTES; // the read in progress may be copied
        if (!forwarder.start(streamedHead, heldBytes)) { // the exchange has a response of another attempt
            channel.close();
            connection.fail(Outcome.RESET);
            return false;
        }
        reservation.release(); // the client's side holds that memory now
        forwarder.forward(Unpooled.wrappedBuffer(buffered.take()));
        return true;
    }

    private ResponseProgress progress() {
        long declaredBytes = head == null ? bodyBytes : HttpUtil.getContentLength(head, UNKNOWN_LENGTH);
        long elapsedMicros = context.nowMicros() - headMicros;
        return new ResponseProgress(
                declaredBytes, bodyBytes, elapsedMicros, !channel.config().isAutoRead());
    }

    private boolean isSuccessful() {
        return AttemptOutcomes.ofResponse(head) == Outcome.OK;
    }

    /** Called when all pending input is read and the response of the attempt is not complete. */
    void readCompleted(Attempt attempt) {
        stallGuard.recordRead();
        forwarder.readCompleted();
        stallGuard.guard(attempt, channel);
        if (!paused && context.bodies().streaming() && head != null && isSuccessful()) {
            paused = true;
            context.listener().responseStarted(attempt);
            streamIfSlow(attempt);
        }
    }

    /**
     * Streams a slow response even if it is short: the upstream is responding, and the client does not have to wait.
     */
    private void streamIfSlow(Attempt attempt) {
        context.loop()
                .schedule(
                        () -> {
                            if (connection.carries(attempt) && isBuffering()) {
                                startStreaming();
                            }
                        },
                        bufferingMicros(attempt),
                        TimeUnit.MICROSECONDS);
    }

    /**
     * How long the response is buffered. One that may be long is streamed at once if its request has little time left:
     * once that is over, a response that is not being streamed is replaced by a failure.
     */
    private long bufferingMicros(Attempt attempt) {
        long leftMicros = attempt.deadlineMicros() - context.nowMicros();
        boolean endsSoon = leftMicros < 2 * MAX_BUFFERING_MICROS;
        return endsSoon && ResponseDeadline.mayBeLong(progress()) ? 0 : MAX_BUFFERING_MICROS;
    }

    private boolean isBuffering() {
        return head != null && !forwarder.isStreaming() && !hasResponse();
    }

    // ---- Result --------------------------------------------------------------------------------------

    /** Whether a response was buffered completely and not yet handed over. */
    boolean hasResponse() {
        return response != null;
    }

    /** The response that was buffered completely; there must be one. */
    UpstreamResponse response() {
        return response;
    }

    /** Whether a streamed response has been read to its end. */
    boolean isStreamComplete() {
        return forwarder.isComplete();
    }

    /** Whether the upstream closes the connection after the response read last. */
    boolean closesConnection() {
        return closesConnection;
    }

    /** The receiver of a response that is being streamed and is not complete. */
    Optional<ResponseStream.Sink> incompleteStream() {
        return forwarder.incompleteSink();
    }

    /** Discards all state of the current response. */
    void clear() {
        forwarder.clear();
        head = null;
        response = null;
        buffered.clear();
        reservation.release();
    }
}
