package sedgeyoke.proxy.client;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.io.IOException;
import sedgeyoke.body.BodyLimits;
import sedgeyoke.proxy.common.HeaderMemory;
import sedgeyoke.proxy.core.ProxyCore;
import sedgeyoke.proxy.exchange.Exchange;

/**
 * One client connection: owns its state and passes the events of its channel on. {@link RequestReader} reads the
 * requests, {@link RequestAdmission} decides whether they are admitted, {@link ResponseWriter} writes the responses,
 * and {@link ClientConnectionCloser} closes unused connections. All methods must run on the event loop.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    private final Channel channel;
    private final HttpFrontend frontend;
    private final ClientConnections connections;
    private final ProxyCore core;
    private final BodyLimits limits;
    private final ResponseWriter responses;
    private final RequestAdmission admission;
    private final RequestReader reader;
    /** The header fields of the request that is being read or in flight. */
    private final HeaderMemory headerMemory;

    private ClientConnectionState state = ClientConnectionState.NEW;
    /** When the state was entered or its timeout restarted, on the policy's clock. */
    private long stateSinceMicros;

    /** When the state was entered, whatever has restarted its timeout. */
    private long stateEnteredMicros;

    private long progressCheckMicros;
    /** Set once the channel is closed; later state changes are no longer counted in {@link ClientConnections}. */
    private boolean closed;

    ClientConnection(
            Channel channel,
            HttpFrontend frontend,
            ClientConnections connections,
            ProxyCore core,
            RequestParser parser,
            BodyLimits limits) {
        this.channel = channel;
        this.frontend = frontend;
        this.connections = connections;
        this.core = core;
        this.limits = limits;
        this.responses = new ResponseWriter(channel, this, frontend, core);
        this.admission = new RequestAdmission(frontend, connections, core, parser, responses);
        IncomingRequest incoming = new IncomingRequest(channel, this, core, limits, admission, responses);
        this.reader = new RequestReader(channel, this, core, incoming, new PipelinedInput(core.budget()), admission);
        this.headerMemory = new HeaderMemory(core.budget());
    }

    /** Adds the handlers of this connection to its channel. */
    void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(
                reader.input(),
                new RequestValidator.Decoder(limits.maxPartBytes(), reader, headerMemory),
                new HttpResponseEncoder(),
                new RequestValidator(admission::validate, limits.maxBodyBytes()),
                this);
    }

    // ---- State ---------------------------------------------------------------------------------------

    /** Changes the state; {@link ClientConnectionState#mayBecome} lists the allowed transitions. */
    void enter(ClientConnectionState next) {
        assert state.mayBecome(next) : state + " to " + next;
        if (!closed) {
            connections.count(state, -1);
            connections.count(next, 1);
        }
        state = next;
        stateSinceMicros = core.now();
        stateEnteredMicros = stateSinceMicros;
    }

    /** Records that a request has been received in part. */
    void requestIncomplete() {
        if (state == ClientConnectionState.NEW) {
            state = ClientConnectionState.READING; // stateSinceMicros stays: bytes must not extend the timeout
        } else if (state == ClientConnectionState.IDLE) {
            enter(ClientConnectionState.READING);
        }
    }

    /** Restarts the timeout of the state, because the client has made progress. */
    void restartTimeout() {
        stateSinceMicros = core.now();
    }

    /** Looks for progress of the response that is being written. */
    void checkResponseProgress(long nowMicros) {
        progressCheckMicros = nowMicros;
        responses.checkProgress();
    }

    /** When {@link #checkResponseProgress} was called last. */
    long progressCheckMicros() {
        return progressCheckMicros;
    }

    /** How much of the response waits to be written, in bytes. */
    long unwrittenBytes() {
        return responses.unwrittenBytes();
    }

    /** For the log: the id of the request that is being received or answered. */
    String requestId() {
        Exchange open = responses.openExchange();
        return open == null ? admission.validatedId() : open.request().id();
    }

    ClientConnectionState state() {
        return state;
    }

    /** When the state was entered or its timeout restarted, on the policy's clock. */
    long stateSinceMicros() {
        return stateSinceMicros;
    }

    /** When the state was entered, on the policy's clock. */
    long stateEnteredMicros() {
        return stateEnteredMicros;
    }

    /** Whether a request is in flight or its response is being written, on a channel that is still open. */
    boolean isBusy() {
        return !closed && state.isBusy();
    }

    /** Whether all further input is discarded. */
    boolean discardsInput() {
        return closed || state == ClientConnectionState.CLOSING;
    }

    /** Whether a response has been written and nothing of the next request has been received. */
    boolean isIdle() {
        return state == ClientConnectionState.IDLE && !reader.hasPipelined();
    }

    /** Whether another request can be read after the current one. */
    boolean mayReadAnotherRequest() {
        return reader.mayReadAnotherRequest();
    }

    /** The reader of this connection's requests. */
    RequestReader reader() {
        return reader;
    }

    // ---- Events of the channel -----------------------------------------------------------------------

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        stateSinceMicros = core.now();
        connections.add(this);
        channel.closeFuture().addListener(future -> {
            connections.count(state, -1);
            closed = true;
            releaseRequest();
            connections.remove(this);
            frontend.updateAccepting();
        });
        admission.connectionAccepted(frontend.connectionAccepted());
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        reader.received(message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        reader.readCompleted();
        ctx.fireChannelReadComplete();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        responses.writabilityChanged();
        ctx.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        reader.clientDisconnected();
        responses.cancelStream();
        releaseRequest(); // a response may have begun between the close and this event
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException || cause instanceof PrematureChannelClosureException) {
            ctx.close(); // the client has closed the connection; channelInactive ends its request
            return;
        }
        responses.failedInternally(cause);
    }

    // ---- End of a request and of the connection ------------------------------------------------------

    /**
     * Continues with the next request or closes the connection. The next request waits until then, so that responses to
     * a client that does not read cannot accumulate.
     */
    void responseWritten(AfterResponse afterResponse) {
        releaseRequest();
        if (afterResponse == AfterResponse.CLOSE || reader.isReadingBody()) {
            closeOutput();
            return;
        }
        enter(ClientConnectionState.IDLE);
        channel.config().setAutoRead(true); // may still be off after a long body that no attempt has read
        reader.continueWithPipelined();
    }

    /** Releases the memory of a request and its response. */
    private void releaseRequest() {
        responses.releaseBodies();
        headerMemory.release();
    }

    /**
     * Closes only our side of the connection. Closing the channel while the client still sends would reset the
     * connection, and the client might not be able to read its response.
     */
    void closeOutput() {
        enter(ClientConnectionState.CLOSING);
        reader.discardReceived();
        channel.config().setAutoRead(true);
        if (channel instanceof DuplexChannel duplex) {
            duplex.shutdownOutput();
        } else {
            channel.close();
        }
    }

    /** Closes the channel at once. */
    void close() {
        channel.close();
    }
}
