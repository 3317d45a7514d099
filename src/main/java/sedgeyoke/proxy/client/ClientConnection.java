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
import sedgeyoke.proxy.core.ProxyCore;

/**
 * Owns the state of one connection of a client, and passes the events of its channel to those that work on it.
 * Requests are read by {@link RequestReader} and decided on by {@link RequestAdmission}; responses are written by
 * {@link ResponseWriter}; {@link ClientConnectionCloser} closes it when its client leaves it unused. All methods run
 * on the event loop.
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

    private ClientConnectionState state = ClientConnectionState.NEW;
    /** When the state was entered, on the clock of the policy. */
    private long stateSinceMicros;
    /** Set once the channel is closed: what still happens then must not be counted again. */
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
        this.admission = new RequestAdmission(this, frontend, connections, core, parser, responses);
        IncomingRequest incoming = new IncomingRequest(channel, this, core, limits, admission, responses);
        this.reader = new RequestReader(channel, this, core, incoming, new PipelinedRequests(connections), admission);
    }

    /** Adds the handlers of this connection to its channel. */
    void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(
                reader.new PipelineLimiter(),
                new RequestValidator.Decoder(limits.maxPartBytes()),
                new HttpResponseEncoder(),
                new RequestValidator(admission::validate, limits.maxBodyBytes()),
                this);
    }

    // ---- State ---------------------------------------------------------------------------------------

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

    /** A part of a request was received, and more of it is to come. */
    void requestIncomplete() {
        if (state == ClientConnectionState.NEW) {
            state = ClientConnectionState.READING; // timed since it connected: single bytes must not prolong it
        } else if (state == ClientConnectionState.IDLE) {
            enter(ClientConnectionState.READING);
        }
    }

    /** The client has made progress: the timeout of the state begins anew. */
    void restartTimeout() {
        stateSinceMicros = core.now();
    }

    ClientConnectionState state() {
        return state;
    }

    /** When the connection entered its state, on the clock of the policy. */
    long stateSinceMicros() {
        return stateSinceMicros;
    }

    /** Whether a request is in flight or its response is being written, on a channel that is still open. */
    boolean isBusy() {
        return !closed && state.isBusy();
    }

    /** Whether whatever is still received is discarded. */
    boolean discardsInput() {
        return closed || state == ClientConnectionState.CLOSING;
    }

    /** Whether no request is in flight and none has been received. */
    boolean isIdle() {
        return state == ClientConnectionState.IDLE && !reader.hasPipelined();
    }

    /** Whether another request may follow the one that is responded to. */
    boolean mayReadAnotherRequest() {
        return reader.mayReadAnotherRequest();
    }

    /** What reads the requests on this connection. */
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
            reader.stopCountingPipelined();
            responses.releaseBodies();
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
     * Begins the next request, or ends the connection. Only now, because responses to a client that does not read must
     * not accumulate.
     */
    void responseWritten(AfterResponse afterResponse) {
        responses.releaseBodies();
        if (afterResponse == AfterResponse.CLOSE || reader.isReadingBody()) {
            closeOutput();
            return;
        }
        enter(ClientConnectionState.IDLE);
        channel.config().setAutoRead(true); // off if no attempt has taken a long body
        reader.continueWithPipelined();
    }

    /**
     * Ends our side only. Closing the channel while more is received would reset the connection, and the client might
     * not get to read its response.
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
