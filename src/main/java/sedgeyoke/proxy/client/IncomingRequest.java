package sedgeyoke.proxy.client;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import sedgeyoke.body.BodyBudget;
import sedgeyoke.body.BodyLimits;
import sedgeyoke.body.MinimumTransferRate;
import sedgeyoke.body.UploadArrival;
import sedgeyoke.body.UploadReadAhead;
import sedgeyoke.proxy.common.Transport;
import sedgeyoke.proxy.core.ProxyCore;
import sedgeyoke.proxy.exchange.Exchange;
import sedgeyoke.proxy.exchange.RequestBody;

/**
 * Assembles the request that is being read on one connection, with its body. Hands it to {@link RequestAdmission} once,
 * as soon as its body is complete or too long to be buffered. Event loop only.
 */
public final class IncomingRequest implements RequestBody.Source {
    private final Channel channel;
    private final ClientConnection connection;
    private final ProxyCore core;
    private final BodyLimits limits;
    private final BodyBudget budget;
    private final RequestAdmission admission;
    private final ResponseWriter responses;

    /** The validated head of the request that is being read; null once it was admitted. */
    private HttpRequest head;
    /** The body being read; null once its end has been received, or when no more of it is to be read. */
    private RequestBody body;
    /** Whether the end of the body was received, although it may not be added yet. */
    private boolean endReceived;
    /** The minimum rate of the body; null unless a body is being read and long bodies are streamed. */
    private MinimumTransferRate uploadRate;
    /** Since when all of the body may have arrived; null unless {@link #uploadRate} is set. */
    private UploadArrival arrival;
    /** Decides whether the rest of the body is read ahead; null unless {@link #uploadRate} is set. */
    private UploadReadAhead readAhead;
    /** Since when the client may have written all of the body, whose rest cannot be read for lack of memory. */
    private long assumedArrivalMicros;
    /** The time of arrival that the deadline of the request accounts for. */
    private long arrivedMicros;

    IncomingRequest(
            Channel channel,
            ClientConnection connection,
            ProxyCore core,
            BodyLimits limits,
            RequestAdmission admission,
            ResponseWriter responses) {
        this.channel = channel;
        this.connection = connection;
        this.core = core;
        this.limits = limits;
        this.budget = core.budget();
        this.admission = admission;
        this.responses = responses;
    }

    /** Whether part of the body is still to be received. */
    boolean isReadingBody() {
        return body != null;
    }

    /** Whether the body of the request is too long to be buffered, and is still being received. */
    boolean isStreaming() {
        return body != null && body.streams();
    }

    /** Whether the body of the request must arrive at a minimum rate. */
    boolean hasMinimumRate() {
        return uploadRate != null;
    }

    /** Whether the body arrives more slowly than its minimum rate; call only if {@link #hasMinimumRate}. */
    boolean isBelowMinimumRate(long nowMicros) {
        return uploadRate.isTooSlow(nowMicros);
    }

    // ---- Reading -------------------------------------------------------------------------------------

    /** Begins a request with its validated head. */
    void begin(HttpRequest validatedHead) {
        if (connection.state() == ClientConnectionState.NEW || connection.state() == ClientConnectionState.IDLE) {
            connection.enter(ClientConnectionState.READING);
        }
        head = validatedHead;
        endReceived = false;
        body = new RequestBody(this, limits.maxUnstreamedBytes(), limits.maxSocketReadBytes());
        if (limits.streaming()) {
            uploadRate = new MinimumTransferRate(limits, core.now());
            long declaredBytes = HttpUtil.getContentLength(validatedHead, Exchange.UNKNOWN_LENGTH);
            arrival = new UploadArrival(declaredBytes, core.now());
            readAhead = new UploadReadAhead(limits, declaredBytes);
            assumedArrivalMicros = UploadArrival.NOT_ARRIVED;
            arrivedMicros = UploadArrival.NOT_ARRIVED;
        }
        if (HttpUtil.is100ContinueExpected(validatedHead)) {
            channel.writeAndFlush(ClientResponses.proceed());
        }
    }

    /**
     * Adds a part of the body, received at {@code receivedMicros}, and takes over its reference.
     *
     * @param readBytes the bytes that were read on the connection so far
     * @return true if the body has thereby become too long to be buffered, so that the request was handed over before
     *     its end: it is being forwarded, or has ended
     */
    boolean addBodyPart(HttpContent content, long receivedMicros, long readBytes) {
        if (body == null) {
            content.release();
            return false;
        }
        if (uploadRate != null) {
            uploadRate.recordReceived(content.content().readableBytes());
            arrival.recordRead(content.content().readableBytes());
        }
        int length = content.content().readableBytes();
        if (!body.streams() && !responses.reserveRequestBody(bytesHeldWith(length))) {
            content.release();
            rejectForLackOfMemory();
            return true;
        }
        boolean last = content instanceof LastHttpContent;
        RequestBody extended = body;
        boolean mustStream = extended.add(content.content());
        budget.recordBuffered(extended.bufferedBytes());
        if (body != extended) {
            return true; // the part could not be forwarded, which has ended the request
        }
        if (mustStream && !beginStreaming(receivedMicros)) {
            return true;
        }
        if (last) {
            end(receivedMicros, readBytes);
        }
        return mustStream;
    }

    /** The memory that the body takes with {@code length} more bytes; a longer one is streamed. */
    private int bytesHeldWith(int length) {
        return Math.min(body.bytesHeldWith(length), limits.maxUnstreamedBytes());
    }

    /** Like {@link #addBodyPart}, but if that throws, the client still gets a response. */
    void addBodyPartAnsweringOnFailure(HttpContent content, long receivedMicros, long readBytes) {
        answeringOnFailure(() -> addBodyPart(content, receivedMicros, readBytes));
    }

    /**
     * Starts forwarding a request whose body is too long to be buffered, or rejects it if too many bodies are being
     * streamed. Returns false if no more of the body is to be read.
     */
    private boolean beginStreaming(long receivedMicros) {
        if (!responses.reserveRequestBody(limits.maxBufferedBytes())) {
            rejectForLackOfMemory();
            return false;
        }
        RequestBody streamed = body;
        responses.expectResponse();
        HttpRequest admitted = takeHead();
        answeringOnFailure(() -> admission.admit(admitted, streamed, receivedMicros));
        return body != null;
    }

    /** Removes the head, which takes more memory than what is kept of it. */
    private HttpRequest takeHead() {
        HttpRequest taken = head;
        head = null;
        return taken;
    }

    /**
     * Restarts the deadline of a streamed request once all of it may have arrived, although part of it is unread.
     *
     * @param readBytes the bytes that were read on the connection so far
     */
    void checkArrival(long readBytes) {
        if (arrival == null) {
            return;
        }
        boolean paused = !channel.config().isAutoRead();
        long unreadBytes = paused ? Transport.unreadBytes(channel) : 0;
        long provenMicros = arrival.check(readBytes, unreadBytes, core.now());
        if (paused && readsRest()) {
            resumeReading();
        } else if (paused && body.streams() && readAhead.mayBeWritten(arrival.bodyBytes(), unreadBytes)) {
            assumedArrivalMicros = Math.min(assumedArrivalMicros, core.now());
        }
        setArrived(Math.min(provenMicros, assumedArrivalMicros));
    }

    private void setArrived(long micros) {
        Exchange open = responses.openExchange();
        if (micros != arrivedMicros && open != null) {
            arrivedMicros = micros;
            core.requestArrived(open, micros);
        }
    }

    private void end(long receivedMicros, long readBytes) {
        if (isStreaming()) {
            setArrived(Math.min(arrival.endRead(readBytes, receivedMicros), assumedArrivalMicros));
        }
        RequestBody complete = stopReadingBody();
        boolean streaming = complete.streams();
        complete.end();
        if (streaming) {
            resumeReading();
        } else {
            responses.expectResponse();
            HttpRequest admitted = takeHead();
            answeringOnFailure(() -> admission.admit(admitted, complete, receivedMicros));
        }
    }

    /**
     * Pauses reading, because the upstream accepts no more for now. Once the end of the body was received, even if it
     * is still held back, reading continues, to notice a close by the client.
     */
    @Override
    public void pauseReading() {
        if (readsRest()) {
            return;
        }
        if (uploadRate != null) {
            uploadRate.pauseReading(core.now());
        }
        channel.config().setAutoRead(body == null || endReceived);
    }

    /** Whether the rest of the body is read ahead, as its client may have written all of it. */
    private boolean readsRest() {
        return readAhead != null
                && body != null
                && body.streams()
                && readAhead.mayReadRest(arrival.bodyBytes(), Transport.unreadBytes(channel))
                && responses.reserveReadAhead(
                        limits.maxBufferedBytes() + body.bufferedBytes() + readAhead.restBytes(arrival.bodyBytes()));
    }

    /** Records that the end of the body was received, which {@link RequestReader} holds back for now. */
    void endReceived() {
        endReceived = true;
    }

    @Override
    public void resumeReading() {
        if (uploadRate != null) {
            uploadRate.resumeReading(core.now());
        }
        channel.config().setAutoRead(true);
    }

    /** Rejects the request, of which nothing was forwarded, without reading its rest. */
    private void rejectForLackOfMemory() {
        budget.recordRejected();
        stopReadingBody().abort();
        admission.rejectForLackOfBodyRoom();
    }

    private void answeringOnFailure(Runnable handling) {
        try {
            handling.run();
        } catch (RuntimeException e) {
            responses.failedInternally(e);
        }
    }

    // ---- A request that is not read to its end -------------------------------------------------------

    /** Rejects the request without reading its rest. A body of which a part was forwarded is aborted. */
    void reject(RequestValidator.Rejection rejection) {
        RequestBody rejected = stopReadingBody();
        if (rejected == null || !rejected.streams()) {
            responses.expectResponse();
            responses.rejectWithText(rejection.reason(), rejection.text(), admission.validatedId());
        } else {
            Exchange aborted = responses.exchange();
            String id = aborted == null
                    ? admission.validatedId()
                    : aborted.request().id();
            responses.rejectWithText(rejection.reason(), rejection.text(), id);
            abortStreamedBody(aborted, rejected);
        }
    }

    /** Called when the channel is closed: ends the exchange in flight, whether or not its body is complete. */
    void clientDisconnected() {
        RequestBody incomplete = stopReadingBody();
        Exchange abandoned = responses.abandonExchange();
        if (incomplete != null && incomplete.streams()) {
            abortStreamedBody(abandoned, incomplete);
        } else if (incomplete != null) {
            incomplete.abort();
        } else if (abandoned != null) {
            core.clientDisconnected(abandoned);
        }
    }

    /** Aborts a body of which a part was forwarded; {@code exchange} is null if its response has begun. */
    private void abortStreamedBody(Exchange exchange, RequestBody streamed) {
        if (exchange != null) {
            core.requestBodyAborted(exchange);
        }
        streamed.abort();
    }

    /** Discards what was received of the body. */
    void discard() {
        RequestBody incomplete = stopReadingBody();
        if (incomplete != null) {
            incomplete.abort();
        }
    }

    /** Returns the body being read, to which nothing is added from now on, or null if there is none. */
    private RequestBody stopReadingBody() {
        RequestBody stopped = body;
        body = null;
        uploadRate = null;
        arrival = null;
        readAhead = null;
        return stopped;
    }
}
