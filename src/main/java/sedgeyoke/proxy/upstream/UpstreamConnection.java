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
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.proxy.common.Transport;
import sedgeyoke.proxy.exchange.Attempt;
import sedgeyoke.proxy.exchange.AttemptConnection;
import sedgeyoke.proxy.exchange.AttemptOutcomes;
import sedgeyoke.proxy.exchange.ResponseStream;
import sedgeyoke.proxy.exchange.UpstreamResponse;

/**
 * One connection to an upstream and the attempt that it carries, if any. A response is handed over only once all is
 * read that arrived with it: the policy may send the next request at once, which must not be given a stray response
 * that lies behind. Event loop only.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> implements AttemptConnection {
    private static final int MIN_READ_BYTES = 512;
    private static final int INITIAL_READ_BYTES = 4_096;

    private final UpstreamContext context;
    private final UpstreamEndpoint endpoint;
    private final UpstreamResponseDecoder decoder;
    private final ResponseReceiver receiver;
    private Channel channel;
    private Attempt current;
    /** Done once the kernel has all of a request with a complete body, even if its listeners have not run yet. */
    private ChannelFuture requestWrite;
    /** The request body that goes out in parts; null if it is complete. */
    private RequestUpload upload;

    private long idleSinceMicros;

    UpstreamConnection(UpstreamContext context, UpstreamEndpoint endpoint) {
        this.context = context;
        this.endpoint = endpoint;
        this.decoder = new UpstreamResponseDecoder(
                context.maxResponseBytes(), context.bodies().maxPartBytes());
        this.receiver = new ResponseReceiver(this, context);
    }

    /** Sets up the pipeline of a new channel. */
    void initialize(Channel created) {
        channel = created;
        receiver.attach(created);
        created.pipeline().addLast(new HttpRequestEncoder(), decoder, this);
        if (context.bodies().streaming()) {
            created.config()
                    .setRecvByteBufAllocator(new AdaptiveRecvByteBufAllocator(
                            MIN_READ_BYTES, INITIAL_READ_BYTES, context.bodies().maxReadBytes()));
            Transport.limitBuffers(created, context.bodies());
        }
    }

    /** Whether a channel was created at all; it is not where the process has no file descriptor left. */
    boolean hasChannel() {
        return channel != null;
    }

    UpstreamEndpoint endpoint() {
        return endpoint;
    }

    /** The attempt that waits for its response; null if there is none. */
    Attempt current() {
        return current;
    }

    @Override
    public boolean carries(Attempt attempt) {
        return current == attempt;
    }

    long idleSinceMicros() {
        return idleSinceMicros;
    }

    /** Whether it is open and nothing has arrived behind the last response. */
    boolean isReusable() {
        return channel.isActive() && !decoder.hasMore();
    }

    /** Whether the upstream still has the address that this connection goes to. */
    boolean isAtCurrentAddress() {
        return channel.remoteAddress().equals(endpoint.address());
    }

    void close() {
        channel.close();
    }

    /** Makes it an idle connection of its upstream if that is ready, else closes it. */
    void release() {
        if (channel.isActive() && endpoint.isReady() && isAtCurrentAddress()) {
            idleSinceMicros = context.now();
            endpoint.addIdle(this);
        } else {
            channel.close();
        }
    }

    // ---- Request -------------------------------------------------------------------------------------

    /** Writes the request of an attempt, once; {@code budgetMillis} is what the upstream may take for it. */
    void send(Attempt attempt, long budgetMillis) {
        current = attempt;
        attempt.sentOn(this);
        if (attempt.exchange().body().streams()) {
            stream(attempt);
            return;
        }
        requestWrite = channel.writeAndFlush(UpstreamRequests.complete(attempt.exchange(), budgetMillis));
        requestWrite.addListener(written -> requestWritten(attempt, written));
    }

    /** Success means that the kernel has all of it; a failure proves that the last byte never went out. */
    private void requestWritten(Attempt attempt, Future<? super Void> written) {
        if (!written.isSuccess()) {
            channel.close();
            fail(Outcome.CONNECT_FAILED);
        } else if (!attempt.written()) {
            context.listener().requestWritten(attempt);
        }
    }

    private void stream(Attempt attempt) {
        requestWrite = null; // the last byte is written by the upload
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
        } else if (current == null) {
            ctx.close(); // bytes that no request asked for
        } else {
            receiver.readPaused(current);
        }
        ctx.fireChannelReadComplete();
    }

    private void deliverResponse() {
        UpstreamResponse response = receiver.response();
        finish(response.outcome(), response);
    }

    /** Ends the attempt after a complete response; the connection can be used again if both sides kept to HTTP. */
    private void finish(Outcome outcome, UpstreamResponse response) {
        Attempt attempt = current;
        boolean reusable = attempt.written() && !receiver.closesConnection() && !decoder.hasMore();
        current = null;
        clearExchange();
        if (reusable) {
            release();
        } else {
            channel.close();
        }
        context.listener().ended(attempt, outcome, response);
    }

    private void clearExchange() {
        receiver.clear();
        if (upload != null) {
            RequestUpload detached = upload;
            upload = null;
            detached.detach();
        }
    }

    // ---- Failure -------------------------------------------------------------------------------------

    /** Cancels the current attempt, if any. */
    void cancel() {
        if (current != null) {
            stop(Outcome.CANCELLED);
        }
    }

    /**
     * Ends the current attempt and closes the connection. It is closed before the end is reported: the policy may
     * respond with another attempt, and where two copies must not be in flight at once, upstreams would see two.
     */
    @Override
    public void stop(Outcome outcome) {
        Attempt attempt = current;
        current = null;
        abortResponse();
        channel.close();
        context.listener().ended(attempt, outcome, null);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        endpoint.removeIdle(this);
        fail(outcomeOfConnectionLoss());
    }

    /**
     * The write may have succeeded although its listener runs only after the connection broke: so it is checked first.
     */
    private Outcome outcomeOfConnectionLoss() {
        if (current == null) {
            return Outcome.RESET;
        }
        if (!current.written() && requestWrite != null && requestWrite.isSuccess()) {
            context.listener().requestWritten(current);
        }
        return AttemptOutcomes.afterConnectionLoss(current);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            // Before the close: a response that ends with its connection would be taken for complete.
            fail(outcomeOfConnectionLoss());
            ctx.close();
        } else {
            failInvalidResponse(cause);
        }
    }

    /** The request has run, and the rest of its response must not be read as the next one. */
    void failInvalidResponse(Object reason) {
        context.log().line("invalid response of an upstream: " + reason);
        channel.close();
        fail(Outcome.ERROR);
    }

    /** Ends the current attempt, if any. A complete response that was read before stays valid and is delivered. */
    void fail(Outcome outcome) {
        if (receiver.hasResponse()) {
            deliverResponse();
        } else if (current != null) {
            Attempt attempt = current;
            current = null;
            abortResponse();
            context.listener().ended(attempt, outcome, null);
        }
    }

    /** Discards the response; the client of one that was being streamed has to see that it is incomplete. */
    private void abortResponse() {
        ResponseStream.Sink incomplete = receiver.incompleteStream();
        clearExchange();
        if (incomplete != null) {
            incomplete.abort();
        }
    }
}
