package sedgeyoke.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Queue;
import sedgeyoke.body.BodyBudget;
import sedgeyoke.body.BodyLimits;
import sedgeyoke.body.MinimumTransferRate;
import sedgeyoke.policy.LoadBalancingPolicy.Request;

/**
 * One connection of a client: its state, and the requests that are read from it one after the other and handed to
 * {@link ProxyCore}. Requests that the client pipelines wait until the response before them is written; responses are
 * up to {@link ResponseWriter}. Reading and the state stay in one class, as each step of reading is a transition. All
 * methods run on the event loop.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements RequestBody.Source {
    private final Channel channel;
    private final HttpFrontend frontend;
    private final ClientConnections connections;
    private final ProxyCore core;
    private final RequestParser parser;
    private final BodyLimits limits;
    private final BodyBudget budget;
    private final ClientTimeouts timeouts;
    private final ResponseWriter responses;

    private ClientConnectionState state = ClientConnectionState.NEW;
    /** When the state was entered, on the clock of the policy. */
    private long stateSinceMicros;
    /** Set once the channel is closed: what still happens then must not be counted again. */
    private boolean closed;

    /** What was received behind the request that is in flight. */
    private final PipelinedRequests pipelined;
    /** Valid requests, until the rest of each is received and its turn has come. */
    private final Queue<Request> validatedRequests = new ArrayDeque<>();
    /** The request that is being read. */
    private HttpRequest requestHead;
    /** Its body until the end of it was received, else null. */
    private RequestBody requestBody;
    /** Null unless a body is being read, and long ones are streamed. */
    private MinimumTransferRate uploadRate;
    /** The end of the request that is being read, until the channel has no more to read for now. */
    private LastHttpContent lastContent;
    /** Whether the channel is in the middle of a read. */
    private boolean readInProgress;
    /** When the last part of a request that was processed had been received. */
    private long receivedMicros;
    /** How long the connection may have waited to be accepted; counts for its first request. */
    private long acceptDelayMicros;
    /** Whether no request has been forwarded yet. */
    private boolean firstRequest = true;
    /** Whether that read has brought the end of a request, or its rejection. */
    private boolean requestCompletedInRead;

    ClientConnection(
            Channel channel,
            HttpFrontend frontend,
            ClientConnections connections,
            ProxyCore core,
            RequestParser parser,
            BodyLimits limits,
            ClientTimeouts timeouts) {
        this.channel = channel;
        this.frontend = frontend;
        this.connections = connections;
        this.core = core;
        this.parser = parser;
        this.limits = limits;
        this.budget = core.budget();
        this.timeouts = timeouts;
        this.pipelined = new PipelinedRequests(connections);
        this.responses = new ResponseWriter(channel, this, frontend, core);
    }

    // ---- State ---------------------------------------------------------------------------------------

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        stateSinceMicros = core.now();
        connections.add(this);
        channel.closeFuture().addListener(future -> {
            connections.count(state, -1);
            closed = true;
            pipelined.resetCount();
            responses.releaseBodies();
            connections.remove(this);
            frontend.updateAccepting();
        });
        acceptDelayMicros = frontend.connectionAccepted();
    }

    /** Makes a transition of the state; see {@link ClientConnectionState#mayBecome}. */
    void enter(ClientConnectionState next) {
        assert state.mayBecome(next) : state + " to " + next;
        if (!closed) {
            connections.count(state, -1);
            connections.count(next, 1);
        }
        state = next;
        stateSinceMicros = core.now();
    }

    /** The client has made progress: the timeout of the state begins anew. */
    void restartTimeout() {
        stateSinceMicros = core.now();
    }

    /** When the connection entered its state, on the clock of the policy. */
    long stateSinceMicros() {
        return stateSinceMicros;
    }

    private boolean isBusy() {
        return !closed && state.isBusy();
    }

    /** Whether no request is in flight and none has been received. */
    boolean isIdle() {
        return state == ClientConnectionState.IDLE && pipelined.isEmpty();
    }

    /** Whether a request was received in part. */
    private boolean isRequestIncomplete() {
        return state == ClientConnectionState.READING && lastContent == null;
    }

    /** Whether the connection is idle for longer than it may be where connections are scarce. */
    boolean exceedsShortIdle(long now) {
        return timeouts.exceedsShortIdle(now - stateSinceMicros);
    }

    /** Whether the connection may be closed in favour of a new one. */
    boolean mayMakeRoom(long now) {
        return timeouts.mayMakeRoom(state, isIdle(), now - stateSinceMicros);
    }

    /** Closes the channel at once. */
    void close() {
        channel.close();
    }

    /** Rejects a request that comes too slowly, and closes the connection if its state has timed out. */
    void checkTimeouts(long now) {
        long elapsed = now - stateSinceMicros;
        boolean tooSlow = lastContent == null && uploadRate != null
                ? uploadRate.tooSlow(now)
                : isRequestIncomplete() && timeouts.requestExpired(elapsed);
        if (tooSlow) {
            rejectRequest(
                    new RequestValidator.Rejection(HttpResponseStatus.REQUEST_TIMEOUT, "the request is not whole"));
        } else if (timeouts.mustClose(state, isIdle(), elapsed)) {
            channel.close();
        }
    }

    /**
     * Ends the connection at a graceful shutdown, unless a request has begun: the end of such a request may have been
     * received by the system, and only its response may end the connection.
     *
     * @param immediately also closes connections of clients that do not leave, and rejects incomplete requests
     */
    void shutDown(long now, boolean immediately) {
        long elapsed = now - stateSinceMicros;
        if (isIdle() || timeouts.isSilent(state, elapsed)) {
            closeOutput();
        } else if (immediately && timeouts.isLingering(state, elapsed)) {
            channel.close();
        } else if (immediately && isRequestIncomplete() && (requestBody == null || !requestBody.streams())) {
            rejectRequest(new RequestValidator.Rejection(HttpResponseStatus.SERVICE_UNAVAILABLE, "it ends"));
        }
    }

    // ---- Reading requests ----------------------------------------------------------------------------

    /** Checks the head of a request before its body is read; the rejection, or null for a valid request. */
    RequestValidator.Rejection validate(HttpRequest head) {
        try {
            Request request = parser.parse(head);
            if (request != null && state != ClientConnectionState.CLOSING) {
                validatedRequests.add(request);
            }
            return null;
        } catch (InvalidRequestException e) {
            return new RequestValidator.Rejection(e.status(), e.getMessage());
        }
    }

    /** Whether what is received belongs to a pipelined request, behind the one that is being read or in flight. */
    private boolean isPipelined() {
        return lastContent != null || requestBody == null && (isBusy() || !pipelined.isEmpty());
    }

    /** Counts bytes before they are decoded, and discards them where too many are pipelined. */
    final class PipelineLimiter extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (isPipelined()) {
                pipelined.countReceived(((ByteBuf) bytes).readableBytes());
            }
            if (pipelined.overflowed()) {
                ReferenceCountUtil.release(bytes);
            } else {
                ctx.fireChannelRead(bytes);
            }
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        readInProgress = true;
        if (state == ClientConnectionState.CLOSING || closed) {
            ReferenceCountUtil.release(message);
        } else if (isPipelined()) {
            pipelined.add(
                    message, core.now()); // and reading goes on: otherwise the end of the connection would not be seen
        } else {
            receivedMicros = core.now();
            process(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (!requestCompletedInRead && state == ClientConnectionState.NEW) {
            state = ClientConnectionState.READING; // timed since it connected: single bytes must not prolong it
        } else if (!requestCompletedInRead && state == ClientConnectionState.IDLE) {
            enter(ClientConnectionState.READING);
        }
        requestCompletedInRead = false;
        readInProgress = false;
        if (lastContent != null) {
            channel.eventLoop().execute(this::processLastContent); // after a close that was received with it
        }
        ctx.fireChannelReadComplete();
    }

    /**
     * Completes a request once the channel has no more to read for now. The end of a client that has left comes with
     * the last bytes of its request, and such a request must not be forwarded.
     */
    private void processLastContent() {
        LastHttpContent last = lastContent;
        lastContent = null;
        if (last != null && channel.isActive()) {
            answeringOnFailure(() -> readContent(last));
        } else {
            ReferenceCountUtil.release(last);
        }
    }

    /** Continues with requests that were pipelined. */
    private void processPipelined() {
        while (!pipelined.isEmpty()
                && channel.isActive()
                && (state == ClientConnectionState.IDLE
                        || state == ClientConnectionState.READING && requestBody != null)) {
            PipelinedRequests.Part part = pipelined.poll();
            receivedMicros = part.receivedMicros();
            process(part.message());
        }
        if (pipelined.isEmpty()) {
            pipelined.resetCount();
        }
    }

    /** Processes a part of the next request, or of the one that is being read. */
    private void process(Object message) {
        if (message instanceof RequestValidator.Rejection rejection) {
            rejectRequest(rejection);
            return;
        }
        if (message instanceof HttpRequest head) {
            beginRequest(head);
        }
        if (readInProgress && requestBody != null && message instanceof LastHttpContent last) {
            requestCompletedInRead = true;
            lastContent = last;
        } else if (message instanceof HttpContent content) {
            readContent(content);
        }
    }

    private void beginRequest(HttpRequest head) {
        if (state == ClientConnectionState.NEW || state == ClientConnectionState.IDLE) {
            enter(ClientConnectionState.READING);
        }
        requestHead = head;
        requestBody = new RequestBody(this, limits.gathered());
        uploadRate = limits.streaming() ? new MinimumTransferRate(limits, core.now()) : null;
        if (HttpUtil.is100ContinueExpected(head)) {
            channel.writeAndFlush(ClientResponses.proceed());
        }
    }

    private void readContent(HttpContent content) {
        if (requestBody == null) {
            content.release();
            return;
        }
        if (uploadRate != null) {
            uploadRate.came(content.content().readableBytes());
        }
        boolean last = content instanceof LastHttpContent;
        boolean mustStream = requestBody.add(content.content());
        budget.recordBuffered(requestBody.bufferedBytes());
        if (mustStream && !beginStreaming()) {
            return;
        }
        if (last) {
            endRequest();
        }
    }

    /** Takes the body that is being read, which nothing is added to from now on; null if there is none. */
    private RequestBody stopReadingBody() {
        RequestBody body = requestBody;
        requestBody = null;
        uploadRate = null;
        return body;
    }

    private void endRequest() {
        RequestBody complete = stopReadingBody();
        boolean streaming = complete.streams();
        complete.end();
        if (streaming) {
            read(true);
        } else {
            responses.expectResponse();
            answeringOnFailure(() -> forward(requestHead, complete));
        }
    }

    /**
     * Begins to forward a request whose body is too long to be buffered, or rejects it where too many are streamed.
     * False if nothing more of the body is to be read.
     */
    private boolean beginStreaming() {
        if (!responses.reserveBody()) {
            stopReadingBody().abort();
            Request rejected = validatedRequests.remove();
            responses.expectResponse();
            responses.rejectedForLackOfRoom(rejected.classIndex());
            return false;
        }
        RequestBody streamed = requestBody;
        responses.expectResponse();
        requestCompletedInRead = readInProgress;
        answeringOnFailure(() -> forward(requestHead, streamed));
        return requestBody != null;
    }

    private void forward(HttpRequest head, RequestBody body) {
        responses.clientKeepsAlive(HttpUtil.isKeepAlive(head));
        if (RequestParser.isHealthCheck(head)) {
            responses.health(frontend.takesClients());
            return;
        }
        Request request = validatedRequests.remove();
        if (connections.mustReject()) {
            responses.rejectedForLackOfRoom(request.classIndex());
        } else if (core.knows(request.id())) { // another connection has sent this id since the head was validated
            responses.rejected(HttpResponseStatus.BAD_REQUEST, RequestParser.DUPLICATE_ID);
        } else {
            responses.submit(new Exchange(
                    request,
                    head.method(),
                    head.uri(),
                    RequestParser.forwardedHeaders(head.headers()),
                    body,
                    HttpUtil.getContentLength(head, -1L),
                    core.now() - receivedMicros + (firstRequest ? acceptDelayMicros : 0),
                    firstRequest,
                    responses));
            firstRequest = false;
        }
    }

    /** A streamed body is read as fast as the upstream takes it; after its end the end of the client is awaited. */
    @Override
    public void read(boolean on) {
        if (uploadRate != null) {
            uploadRate.reading(on, core.now());
        }
        channel.config().setAutoRead(on || requestBody == null);
    }

    /** Rejects a request whose rest cannot or must not be read. If a part was forwarded, its end never will be. */
    private void rejectRequest(RequestValidator.Rejection rejection) {
        RequestBody rejected = stopReadingBody();
        discardLastContent();
        if (rejected == null || !rejected.streams()) {
            responses.expectResponse();
            requestCompletedInRead = readInProgress;
            responses.rejected(rejection.status(), rejection.reason());
        } else {
            Exchange aborted = responses.exchange();
            responses.rejected(rejection.status(), rejection.reason());
            abortStreamedRequest(aborted, rejected);
        }
    }

    private void abortStreamedRequest(Exchange aborted, RequestBody body) {
        if (aborted != null) {
            core.requestBodyAborted(aborted);
        }
        body.abort();
    }

    /** Whether the client may send another request: not if a part of this one, or of the next, is left unread. */
    boolean mayReadAnotherRequest() {
        return requestBody == null && pipelined.mayContinue();
    }

    // ---- End of a request and of the connection ------------------------------------------------------

    /**
     * Begins the next request, or ends the connection. Only now, because responses to a client that does not read must
     * not accumulate.
     */
    void responseWritten(boolean keep) {
        responses.releaseBodies();
        if (!keep || requestBody != null) {
            closeOutput();
            return;
        }
        enter(ClientConnectionState.IDLE);
        channel.config().setAutoRead(true); // off if no attempt has taken a long body
        if (pipelined.isEmpty()) {
            pipelined.resetCount();
        } else {
            channel.eventLoop().execute(this::processPipelined);
        }
    }

    /**
     * Ends our side only. Closing the channel while more is received would reset the connection, and the client might
     * not get to read its response.
     */
    private void closeOutput() {
        enter(ClientConnectionState.CLOSING);
        discardPipelined();
        RequestBody incomplete = stopReadingBody();
        if (incomplete != null) {
            incomplete.abort();
        }
        channel.config().setAutoRead(true);
        if (channel instanceof DuplexChannel duplex) {
            duplex.shutdownOutput();
        } else {
            channel.close();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        responses.writabilityChanged();
        ctx.fireChannelWritabilityChanged();
    }

    private void discardLastContent() {
        ReferenceCountUtil.release(lastContent);
        lastContent = null;
    }

    private void discardPipelined() {
        discardLastContent();
        validatedRequests.clear();
        pipelined.discard();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        discardPipelined();
        RequestBody incomplete = stopReadingBody();
        Exchange abandoned = responses.abandonExchange();
        if (incomplete != null) {
            abortStreamedRequest(incomplete.streams() ? abandoned : null, incomplete);
        } else if (abandoned != null) {
            core.clientDisconnected(abandoned);
        }
        responses.cancelStream();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException || cause instanceof PrematureChannelClosureException) {
            ctx.close(); // the client has closed the connection; channelInactive ends its request
            return;
        }
        responses.failedInternally(cause);
    }

    private void answeringOnFailure(Runnable handling) {
        try {
            handling.run();
        } catch (RuntimeException e) {
            responses.failedInternally(e);
        }
    }
}
