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
import java.util.concurrent.TimeUnit;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.proxy.exchange.Attempt;
import sedgeyoke.proxy.exchange.AttemptOutcomes;
import sedgeyoke.proxy.exchange.BodyAccumulator;
import sedgeyoke.proxy.exchange.ReadOverflowBuffer;
import sedgeyoke.proxy.exchange.ResponseStream;
import sedgeyoke.proxy.exchange.UpstreamResponse;

/**
 * Receives the responses on one connection, one after the other. A response is buffered up to a limit; one that is
 * longer or slow is streamed to the client where bodies may be streamed. Event loop only.
 */
final class ResponseReceiver implements ResponseStream.Source {
    private final UpstreamConnection connection;
    private final UpstreamContext context;
    private final BodyAccumulator buffered;
    /** What arrived after the client asked for a pause. */
    private final ReadOverflowBuffer overflow = new ReadOverflowBuffer();

    private Channel channel;
    /** The head of the response whose body is being read; null between responses. */
    private HttpResponse head;

    private boolean informational;
    /** Whether the upstream ends the connection with the response read last. */
    private boolean closesConnection;

    private long bodyBytes;
    /** A response that was buffered completely and not yet handed over. */
    private UpstreamResponse response;
    /** Where a streamed response goes; null for one that is buffered. */
    private ResponseStream.Sink sink;
    /** Whether all of a streamed response has been read. */
    private boolean streamComplete;
    /** Whether the client asked for a pause. */
    private boolean paused;

    private long lastReadMicros;
    /** The attempt whose response is guarded against a stall. */
    private Attempt guarded;

    ResponseReceiver(UpstreamConnection connection, UpstreamContext context) {
        this.connection = connection;
        this.context = context;
        this.buffered = new BodyAccumulator(context.maxBufferedBytes());
    }

    void attach(Channel connected) {
        channel = connected;
    }

    /** Takes the head of a response. */
    void receiveHead(HttpResponse received) {
        informational = received.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (informational) {
            return;
        }
        if (connection.current() == null || response != null || streamComplete) {
            channel.close(); // a second response to one request
            return;
        }
        head = received;
        closesConnection = !HttpUtil.isKeepAlive(received);
        bodyBytes = 0;
        buffered.clear();
    }

    /** Takes a part of a response's body; the buffer stays the caller's. */
    void receiveContent(HttpContent content) {
        if (informational || head == null) {
            return;
        }
        if (connection.current() == null) {
            channel.close();
            return;
        }
        ByteBuf part = content.content();
        bodyBytes += part.readableBytes();
        if (context.bodies().streaming() && bodyBytes > context.maxResponseBytes()) {
            // Not announced by the head: the decoder checks those that are.
            connection.failInvalidResponse("longer than " + context.maxResponseBytes() + " bytes");
            return;
        }
        boolean exceedsBuffer = buffered.size() + part.readableBytes() > context.maxBufferedBytes();
        if (sink == null && exceedsBuffer && !startStreaming()) {
            return;
        }
        if (sink == null) {
            buffered.add(part);
        } else if (part.isReadable()) {
            stream(part.retain());
        }
        if (content instanceof LastHttpContent last) {
            complete(last);
        }
    }

    private void complete(LastHttpContent last) {
        if (sink != null) {
            streamComplete = true;
            if (!overflow.isEmpty()) {
                sink.forward(overflow.take());
            }
            sink.end(last.trailingHeaders());
        } else {
            response = UpstreamResponse.of(head, buffered.take(), context.loadReportNames(), context.log());
        }
        head = null;
    }

    // ---- Streaming -----------------------------------------------------------------------------------

    /** Sends the response to the client as it arrives from now on; false if it can't be, and the attempt has ended. */
    private boolean startStreaming() {
        if (!context.bodies().streaming() || AttemptOutcomes.ofResponse(head) != Outcome.OK) {
            connection.failInvalidResponse("longer than " + context.maxBufferedBytes() + " bytes");
            return false;
        }
        ResponseStream.Head streamedHead = new ResponseStream.Head(
                head.headers().get(HttpHeaderNames.CONTENT_TYPE), HttpUtil.getContentLength(head, -1L));
        sink = context.listener().responseStreaming(connection.current(), streamedHead, this);
        if (sink == null) { // another attempt was faster
            channel.close();
            connection.fail(Outcome.RESET);
            return false;
        }
        stream(Unpooled.wrappedBuffer(buffered.take()));
        return true;
    }

    private void stream(ByteBuf part) {
        if (paused) {
            overflow.add(part);
        } else {
            paused = !sink.forward(part);
        }
        if (paused) {
            channel.config().setAutoRead(false);
        }
    }

    @Override
    public void demand() {
        lastReadMicros = context.now();
        paused = false;
        if (sink != null && !overflow.isEmpty()) {
            stream(overflow.take());
        }
        if (!paused) {
            channel.config().setAutoRead(true);
        }
    }

    @Override
    public void cancel() {
        connection.cancel();
    }

    // ---- Guards against incomplete responses ----------------------------------------------------------

    /** All is read that has arrived, and the response of the attempt is not complete. */
    void readPaused(Attempt attempt) {
        lastReadMicros = context.now();
        if (guarded == attempt) {
            return;
        }
        guarded = attempt;
        guardAgainstStall(attempt, context.maxResponseStallMicros());
        if (context.bodies().streaming() && head != null && AttemptOutcomes.ofResponse(head) == Outcome.OK) {
            context.listener().responseStarted(attempt);
            streamIfSlow(attempt);
        }
    }

    /** A slow response is streamed even if it is short: its upstream does not hang, and its client need not wait. */
    private void streamIfSlow(Attempt attempt) {
        context.loop()
                .schedule(
                        () -> {
                            if (connection.carries(attempt) && sink == null && response == null && head != null) {
                                startStreaming();
                            }
                        },
                        UpstreamContext.MAX_RESPONSE_STALL_MICROS,
                        TimeUnit.MICROSECONDS);
    }

    /**
     * Ends the attempt if a part of its response has arrived and the rest does not, on a connection that stays open.
     */
    private void guardAgainstStall(Attempt attempt, long delayMicros) {
        context.loop().schedule(() -> checkForStall(attempt), delayMicros, TimeUnit.MICROSECONDS);
    }

    private void checkForStall(Attempt attempt) {
        long stallMicros = context.maxResponseStallMicros();
        boolean readPausedByUs = !channel.config().isAutoRead(); // because its client reads too slowly
        long leftMicros = readPausedByUs ? stallMicros : lastReadMicros + stallMicros - context.now();
        if (connection.carries(attempt) && leftMicros > 0) {
            guardAgainstStall(attempt, leftMicros);
        } else if (connection.carries(attempt)) {
            connection.failInvalidResponse("it stalled");
        }
    }

    // ---- Result --------------------------------------------------------------------------------------

    boolean hasResponse() {
        return response != null;
    }

    /** The response that was buffered completely; null if there is none. */
    UpstreamResponse response() {
        return response;
    }

    boolean isStreamComplete() {
        return streamComplete;
    }

    /** Whether the upstream ends the connection with the response read last. */
    boolean closesConnection() {
        return closesConnection;
    }

    /** Discards all state of the current response. */
    void clear() {
        sink = null;
        head = null;
        response = null;
        streamComplete = false;
        paused = false;
        overflow.release();
        buffered.clear();
    }

    /** Where a streamed response that is not complete goes; null if there is none. */
    ResponseStream.Sink incompleteStream() {
        return streamComplete ? null : sink;
    }
}
