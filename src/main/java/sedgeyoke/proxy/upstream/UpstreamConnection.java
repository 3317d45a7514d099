package sedgeyoke.proxy.upstream;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.Optional;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.proxy.common.HeaderMemory;
import sedgeyoke.proxy.common.Transport;
import sedgeyoke.proxy.exchange.Attempt;
import sedgeyoke.proxy.exchange.AttemptConnection;
import sedgeyoke.proxy.exchange.AttemptOutcomes;
import sedgeyoke.proxy.exchange.ResponseStream;
import sedgeyoke.proxy.exchange.UpstreamResponse;

/**
 * One connection to an upstream and the attempt that it carries, if any. A response is delivered only after all input
 * that arrived with it is read: the policy may send the next request at once, and a stray second response must not be
 * taken for the response to that request. Event loop only.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> implements AttemptConnection {
    private static final int MIN_READ_BYTES = 512;
    private static final int INITIAL_READ_BYTES = 4_096;

    private final UpstreamContext context;
    private final UpstreamEndpoint endpoint;
    private final UpstreamResponseDecoder decoder;
    private final ResponseReceiver receiver;
    /** The header fields of the response that is being read. */
    private final HeaderMemory headerMemory;

    private Channel channel;
    /** The attempt that waits for its response; null if there is none. */
    private Attempt currentAttempt;
    /**
     * The write of a request with a buffered body: done once the kernel has all of it, even if its listeners have not
     * run yet. Null before the first request, and for a request whose body is streamed.
     */
    private ChannelFuture requestWrite;
    /** The request body that is being streamed; null between attempts and for a request with a buffered body. */
    private RequestUpload upload;

    /** Whether the connection was made to the process that the endpoint list means. */
    private boolean processKnown;

    private long idleSinceMicros;

    UpstreamConnection(UpstreamContext context, UpstreamEndpoint endpoint) {
        this.context = context;
        this.endpoint = endpoint;
        this.headerMemory = new HeaderMemory(context.bodyBudget());
        this.decoder = new UpstreamResponseDecoder(
                context.maxResponseBytes(), context.bodies().maxPartBytes(), headerMemory);
        this.receiver = new ResponseReceiver(this, context);
    }

    /** Sets up the pipeline of a new channel. */
    void initialize(Channel created) {
        channel = created;
        receiver.attach(created);
        created.pipeline().addLast(new HttpRequestEncoder(), decoder, this);
        if (context.bodies().streaming()) {
            created.config()
                    .setRecvByteBufAllocator(new ReservedReadAllocator(
                            new AdaptiveRecvByteBufAllocator(
                                    MIN_READ_BYTES,
                                    INITIAL_READ_BYTES,
                                    context.bodies().maxSocketReadBytes()),
                            receiver::reserveRead));
            Transport.limitBuffers(created, context.bodies());
        }
    }

    /** Called once the connection is established. */
    void established() {
        processKnown = endpoint.isProcessKnown(context.nowMicros());
    }

    @Override
    public boolean reachesListedProcess() {
        return processKnown;
    }

    /** Whether a channel was created; it is not if the process has no file descriptor left. */
    boolean hasChannel() {
        return channel != null;
    }

    UpstreamEndpoint endpoint() {
        return endpoint;
    }

    /** Whether an attempt waits for its response. */
    boolean hasAttempt() {
        return currentAttempt != null;
    }

    /** The attempt that waits for its response; there must be one. */
    Attempt currentAttempt() {
        return currentAttempt;
    }

    @Override
    public boolean carries(Attempt attempt) {
        return currentAttempt == attempt;
    }

    long idleSinceMicros() {
        return idleSinceMicros;
    }

    /** Whether the connection is open and nothing has arrived after the last response. */
    boolean isReusable() {
        return channel.isActive() && !decoder.hasTrailingInput();
    }

    /** Whether the upstream still has the address that this connection goes to. */
    boolean isAtCurrentAddress() {
        return channel.remoteAddress().equals(endpoint.address());
    }

    void close() {
        channel.close();
    }

    /** Keeps the connection as idle if its upstream is ready and still has this address; closes it otherwise. */
    void release() {
        if (channel.isActive() && endpoint.isReady() && isAtCurrentAddress()) {
            idleSinceMicros = context.nowMicros();
            endpoint.addIdle(this);
        } else {
            channel.close();
        }
    }

    // ---- Request -------------------------------------------------------------------------------------

    /** Writes the request of an attempt; {@code budgetMillis} is the time in which the upstream has to respond. */
    void send(Attempt attempt, long budgetMillis) {
        currentAttempt = attempt;
        attempt.sentOn(this);
        if (attempt.exchange().body().streams()) {
            startUpload(attempt);
            return;
        }
        requestWrite = channel.writeAndFlush(UpstreamRequests.complete(attempt.exchange(), budgetMillis));
        requestWrite.addListener(written -> requestWritten(attempt, written));
    }

    /** Success means that the kernel has the whole request; a failure proves that its last byte was never sent. */
    private void requestWritten(Attempt attempt, Future<? super Void> written) {
        if (!written.isSuccess()) {
            recordBreak();
            channel.close();
            fail(Outcome.CONNECT_FAILED);
        } else if (!attempt.written()) {
            context.listener().requestWritten(attempt);
        }
    }

    private void startUpload(Attempt attempt) {
        requestWrite = null; // the upload writes the last byte
        upload = new RequestUpload(this, channel, context, attempt);
        channel.write(UpstreamRequests.streamingHead(attempt.exchange()));
        context.listener().requestStreaming(attempt);
        attempt.exchange().body().streamTo(upload);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (upload != null && ctx.channel().isWritable()) {
            upload.resume();
        }
        ctx.fireChannelWritabilityChanged();
    }

    // ---- Response ------------------------------------------------------------------------------------

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (message.decoderResult().isFailure()) {
            failInvalidResponse(message.decoderResult().cause());
        } else if (message instanceof HttpResponse response) {
            receiver.receiveHead(response);
        }
        if (message instanceof HttpContent content) {
            receiver.receiveContent(content);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (receiver.isStreamComplete()) {
            finish(Outcome.OK, null);
        } else if (receiver.hasResponse()) {
            deliverResponse();
        } else if (!hasAttempt()) {
            closeForStrayInput("input that belongs to no request");
        } else {
            receiver.readCompleted(currentAttempt);
        }
        ctx.fireChannelReadComplete();
    }

    private void deliverResponse() {
        UpstreamResponse response = receiver.response();
        finish(response.outcome(), response);
    }

    /**
     * Ends the attempt after a complete response. The connection is reused if the request was written completely, the
     * upstream keeps it open and no further input has arrived.
     */
    private void finish(Outcome outcome, UpstreamResponse response) {
        Attempt attempt = currentAttempt;
        boolean reusable = attempt.written() && !receiver.closesConnection() && !decoder.hasTrailingInput();
        currentAttempt = null;
        clearExchange();
        if (reusable) {
            release();
        } else {
            channel.close();
        }
        context.listener().ended(attempt, outcome, response);
    }

    /** Clears the state of an attempt that has ended; the rest of its upload is discarded. */
    private void clearExchange() {
        receiver.clear();
        headerMemory.release();
        if (upload != null) {
            RequestUpload ended = upload;
            upload = null;
            ended.detach();
        }
    }

    // ---- Failure -------------------------------------------------------------------------------------

    /** Cancels the current attempt, if any. */
    void cancel() {
        if (hasAttempt()) {
            stop(Outcome.CANCELLED);
        }
    }

    /**
     * Ends the current attempt and closes the connection. It is closed before the end is reported: the policy may start
     * another attempt at once, and if two copies of a request must not be in flight, upstreams would otherwise see two.
     */
    @Override
    public void stop(Outcome outcome) {
        Attempt attempt = currentAttempt;
        currentAttempt = null;
        abortResponse();
        channel.close();
        context.listener().ended(attempt, outcome, null);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        endpoint.removeIdle(this);
        if (awaitsResponse()) {
            recordBreak();
        }
        fail(outcomeOfConnectionLoss());
        headerMemory.release(); // of a response that belongs to no request
    }

    /** Whether an attempt is in flight whose response is not complete. */
    private boolean awaitsResponse() {
        return hasAttempt() && !receiver.hasResponse() && !receiver.isStreamComplete();
    }

    private void recordBreak() {
        endpoint.recordBreak(context.nowMicros());
    }

    /** Checks the write first: it may have succeeded although its listener has not run before the connection broke. */
    private Outcome outcomeOfConnectionLoss() {
        if (!hasAttempt()) {
            return Outcome.RESET;
        }
        if (!currentAttempt.written() && requestWrite != null && requestWrite.isSuccess()) {
            context.listener().requestWritten(currentAttempt);
        }
        return AttemptOutcomes.afterConnectionLoss(currentAttempt);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            recordBreak();
            // Before the close: a response that ends with its connection would be taken for complete.
            fail(outcomeOfConnectionLoss());
            ctx.close();
        } else {
            failInvalidResponse(cause);
        }
    }

    /**
     * Ends the attempt with an error and closes the connection: the request was executed, and the rest of its response
     * must not be read as the next response.
     */
    void failInvalidResponse(Object reason) {
        context.log().line("invalid response from an upstream: " + reason + describeAttempt());
        channel.close();
        fail(Outcome.ERROR);
    }

    /** For the log: the attempt that the connection carries, if any. */
    private String describeAttempt() {
        return hasAttempt()
                ? ", request " + currentAttempt.exchange().request().id() + " attempt " + currentAttempt.number()
                        + " at " + currentAttempt.upstream()
                : ", " + channel.remoteAddress() + " carries no request";
    }

    /** Closes the connection because of input that belongs to no request. */
    void closeForStrayInput(String input) {
        context.log().line("closing the connection to an upstream: " + input + describeAttempt());
        channel.close();
    }

    /** Ends the current attempt, if any. A complete response that was read before stays valid and is delivered. */
    void fail(Outcome outcome) {
        if (receiver.hasResponse()) {
            deliverResponse();
        } else if (hasAttempt()) {
            Attempt attempt = currentAttempt;
            currentAttempt = null;
            abortResponse();
            context.listener().ended(attempt, outcome, null);
        }
    }

    /**
     * Discards the response; the client of a response that was being streamed must be able to tell that it is
     * incomplete.
     */
    private void abortResponse() {
        Optional<ResponseStream.Sink> incomplete = receiver.incompleteStream();
        clearExchange();
        incomplete.ifPresent(ResponseStream.Sink::abort);
    }
}
