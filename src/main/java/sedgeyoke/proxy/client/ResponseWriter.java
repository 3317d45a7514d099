package sedgeyoke.proxy.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import sedgeyoke.body.BodyBudget;
import sedgeyoke.body.BodyReservation;
import sedgeyoke.policy.LoadBalancingPolicy.Request;
import sedgeyoke.proxy.common.Transport;
import sedgeyoke.proxy.core.ProxyCore;
import sedgeyoke.proxy.exchange.Exchange;
import sedgeyoke.proxy.exchange.RejectionReason;
import sedgeyoke.proxy.exchange.ResponseStream;

/**
 * Writes the responses on one {@link ClientConnection}: exactly one for each request, however the request ends. All
 * methods must run on the event loop.
 */
public final class ResponseWriter implements Exchange.Reply, ResponseStream.Sink {
    private static final byte[] NO_BODY = {};
    /** What is read may be held in its buffer and in a copy of its remaining parts ({@code ReadOverflowBuffer}). */
    private static final long COPIES_OF_A_READ = 2;
    /** The size of a read for which there is always room. */
    private static final int MIN_READ_BYTES = 2 << 10;

    private final Channel channel;
    private final ClientConnection connection;
    private final HttpFrontend frontend;
    private final ProxyCore core;
    private final BodyBudget budget;
    /** The memory of the request's body until its response is written. */
    private final BodyReservation requestBody;
    /** The memory of the response's body until it is written. */
    private final BodyReservation responseBody;

    /** The exchange in flight: set when a request is submitted, null once its response begins. */
    private Exchange exchange;
    /** The exchange whose response is being streamed; null if there is none. */
    private Exchange streamed;
    /** True from when a request is complete or rejected until its response begins; prevents a second response. */
    private boolean responseDue;
    /** What the client allows after the response; once a streamed response has begun, what was decided. */
    private AfterResponse afterResponse = AfterResponse.CLOSE;
    /** Source of the streamed response in progress; null if there is none. */
    private ResponseStream.Source source;
    /** Whether a part of the response is being read from the upstream. */
    private boolean readInProgress;
    /** The size of the largest read of which a part may wait to be written. */
    private int waitingReadBytes;
    /** What {@link Transport#flushedBytes} was at the last check. */
    private long lastFlushedBytes;

    ResponseWriter(Channel channel, ClientConnection connection, HttpFrontend frontend, ProxyCore core) {
        this.channel = channel;
        this.connection = connection;
        this.frontend = frontend;
        this.core = core;
        this.budget = core.budget();
        this.requestBody = budget.newReservation();
        this.responseBody = budget.newReservation();
    }

    // ---- The request ---------------------------------------------------------------------------------

    /** Records that a request is due a response. */
    void expectResponse() {
        responseDue = true;
        connection.enter(ClientConnectionState.IN_FLIGHT);
    }

    /** Sets whether the client allows another request after the response. */
    void clientKeepsAlive(boolean allowed) {
        afterResponse = allowed ? AfterResponse.KEEP_ALIVE : AfterResponse.CLOSE;
    }

    /** Submits a request to the core, which responds through this object. */
    void submit(Exchange next) {
        exchange = next;
        core.accept(next);
    }

    /** The exchange in flight, or null if there is none or its response has begun. */
    Exchange exchange() {
        return exchange;
    }

    /** The exchange whose response is not complete, even if it has begun; null if there is none. */
    Exchange openExchange() {
        return exchange != null ? exchange : streamed;
    }

    /** Reserves memory for a request body until the response is written; false if the budget is exhausted. */
    boolean reserveRequestBody(int bytes) {
        return requestBody.tryGrowTo(bytes);
    }

    /** Reserves memory to read an upload ahead; false if that would leave too little for other bodies. */
    boolean reserveReadAhead(long bytes) {
        return requestBody.tryGrowToSpare(bytes);
    }

    /** Releases the memory that is reserved for bodies. */
    void releaseBodies() {
        requestBody.release();
        responseBody.release();
    }

    // ---- Complete responses --------------------------------------------------------------------------

    @Override
    public void complete(String contentType, byte[] body) {
        respond(HttpResponseStatus.OK, contentType, body, ClientResponses.NO_RETRY_AFTER);
    }

    @Override
    public void rejected(RejectionReason reason, long retryAfterMicros) {
        respond(reason.status(), null, NO_BODY, retryAfterMicros);
    }

    @Override
    public void failed() {
        respond(HttpResponseStatus.BAD_GATEWAY, null, NO_BODY, ClientResponses.NO_RETRY_AFTER);
    }

    /** Responds to a health check. */
    void health(boolean healthy) {
        HttpResponseStatus status = healthy ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
        respond(status, "text/plain", NO_BODY, ClientResponses.NO_RETRY_AFTER);
    }

    /** Rejects an invalid or incomplete request with a text for the client, then closes the connection. */
    void rejectWithText(RejectionReason reason, String text, String id) {
        core.log()
                .request(() ->
                        "request " + id + " rejected with " + reason.status().code() + ": " + text);
        afterResponse = AfterResponse.CLOSE;
        respond(reason.status(), "text/plain", text.getBytes(StandardCharsets.UTF_8), ClientResponses.NO_RETRY_AFTER);
    }

    /** Rejects a valid request that is not submitted to the core, then closes the connection. */
    void rejectUnsubmitted(RejectionReason reason, Request request) {
        core.log()
                .request(() -> "request " + request.id() + " rejected with "
                        + reason.status().code() + " before it was submitted: " + reason);
        afterResponse = AfterResponse.CLOSE;
        core.countRejected(request.classIndex());
        rejected(reason, core.defaultRetryAfterMicros());
    }

    /** Responds to a request whose handling threw an exception and that would otherwise get no response. */
    void failedInternally(Throwable cause) {
        core.log().line("request not handled: " + cause);
        afterResponse = AfterResponse.CLOSE;
        if (exchange != null) {
            core.handlingFailed(exchange);
        } else if (responseDue) {
            respond(HttpResponseStatus.INTERNAL_SERVER_ERROR, null, NO_BODY, ClientResponses.NO_RETRY_AFTER);
        } else {
            channel.close();
        }
    }

    private void respond(HttpResponseStatus status, String contentType, byte[] body, long retryAfterMicros) {
        if (!responseDue) {
            return;
        }
        responseDue = false;
        AfterResponse decided = decideAfterResponse();
        exchange = null;
        connection.enter(ClientConnectionState.WRITING);
        responseBody.growTo(body.length); // the connection to the upstream has released as much
        writeLast(ClientResponses.complete(status, contentType, body, retryAfterMicros, decided), decided);
    }

    /** Keeps the connection open only if the client, the frontend and the input received so far allow it. */
    private AfterResponse decideAfterResponse() {
        return frontend.allowsKeepAlive() && connection.mayReadAnotherRequest() ? afterResponse : AfterResponse.CLOSE;
    }

    private void writeLast(Object message, AfterResponse decided) {
        channel.writeAndFlush(message).addListener(written -> {
            if (written.isSuccess()) {
                connection.responseWritten(decided);
            }
        });
    }

    // ---- Streamed responses --------------------------------------------------------------------------

    @Override
    public ResponseStream.Sink begin(ResponseStream.Head head, ResponseStream.Source from) {
        responseDue = false;
        responseBody.growTo(Math.max(budget.guaranteedBytes(), from.heldBytes()));
        streamed = exchange;
        exchange = null;
        source = from;
        readInProgress = false;
        afterResponse = decideAfterResponse();
        connection.enter(ClientConnectionState.WRITING);
        channel.write(ClientResponses.streamed(head, afterResponse));
        return this;
    }

    @Override
    public boolean forward(ByteBuf data) {
        ByteBuf part = Transport.compactIfWaiting(channel, data);
        channel.writeAndFlush(new DefaultHttpContent(part)).addListener(written -> {
            if (written.isSuccess() && source != null) {
                connection.restartTimeout(); // the client is reading
                releaseUnusedMemory();
            }
        });
        budget.recordBuffered(Transport.pendingBytes(channel));
        return channel.isWritable();
    }

    @Override
    public int reserveRead(int wantedBytes) {
        readInProgress = true;
        if (Transport.isDrained(channel)) {
            waitingReadBytes = 0;
        }
        long heldBytes = waitingReadBytes + Transport.pendingBytes(channel);
        int readBytes = wantedBytes;
        if (!responseBody.tryGrowToSpare(heldBytes + COPIES_OF_A_READ * wantedBytes)) {
            long roomBytes = (responseBody.bytes() - heldBytes) / COPIES_OF_A_READ;
            readBytes = (int) Math.min(wantedBytes, Math.max(MIN_READ_BYTES, roomBytes));
        }
        waitingReadBytes = Math.max(waitingReadBytes, readBytes);
        return readBytes;
    }

    @Override
    public void readCompleted() {
        readInProgress = false;
        releaseUnusedMemory();
    }

    /** Once everything is written, keeps only what each body may always hold. */
    private void releaseUnusedMemory() {
        if (!readInProgress && Transport.isDrained(channel)) {
            responseBody.shrinkTo(budget.guaranteedBytes());
        }
    }

    @Override
    public void end(HttpHeaders trailers) {
        source = null;
        streamed = null;
        writeLast(ClientResponses.lastContent(trailers), afterResponse);
    }

    /**
     * Closes the connection. As the announced length or the last chunk is missing, the client sees that the response is
     * incomplete.
     */
    @Override
    public void abort() {
        source = null;
        streamed = null;
        channel.close();
    }

    /** Called when the channel becomes writable or unwritable. */
    void writabilityChanged() {
        if (source != null && channel.isWritable()) {
            source.demand();
        }
    }

    // ---- Progress ------------------------------------------------------------------------------------

    /**
     * Restarts the timeout of the connection if the client has made room for more of the response since the last call,
     * or if nothing waits to be written: then the rest has not come from the upstream, and the client waits, too.
     * While the socket's buffer is full, it takes only as much as the client's side has acknowledged.
     */
    void checkProgress() {
        Transport.tryFlush(channel);
        long flushedBytes = Transport.flushedBytes(channel);
        boolean nothingWaits = source != null && unwrittenBytes() == 0;
        if (nothingWaits || flushedBytes != lastFlushedBytes) {
            lastFlushedBytes = flushedBytes;
            connection.restartTimeout();
        }
    }

    /** For the log: how much of the response waits to be written. */
    long unwrittenBytes() {
        return Transport.pendingBytes(channel) - Transport.flushedBytes(channel);
    }

    // ---- End -----------------------------------------------------------------------------------------

    /** Called when the channel is closed: returns the exchange that was in flight, or null. */
    Exchange abandonExchange() {
        Exchange abandoned = exchange;
        exchange = null;
        return abandoned;
    }

    /** Called when the channel is closed: cancels the rest of a streamed response. */
    void cancelStream() {
        if (source != null) {
            ResponseStream.Source from = source;
            source = null;
            streamed = null;
            from.cancel();
        }
    }
}
