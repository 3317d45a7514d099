package sedgeyoke.proxy.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import sedgeyoke.proxy.core.ProxyCore;

/**
 * Reads the requests of one connection in order. What the client pipelines behind the {@link IncomingRequest} or the
 * request in flight is queued until the response is written. Event loop only.
 */
final class RequestReader {
    private final Channel channel;
    private final ClientConnection connection;
    private final ProxyCore core;
    private final IncomingRequest incoming;
    private final PipelinedRequests pipelined;
    private final RequestAdmission admission;

    /** The end of the request being read, held back until the channel has no more to read for now; null otherwise. */
    private LastHttpContent lastContent;
    /** Bytes that were read on this connection. */
    private long readBytes;
    /** When the last processed part of a request was received. */
    private long receivedMicros;
    /** Whether the channel is being read: from a read until its reads are complete. */
    private boolean readInProgress;
    /**
     * Whether those reads have delivered the end of a request, its rejection, or so much that it is being forwarded.
     */
    private boolean requestHandedOverInRead;

    RequestReader(
            Channel channel,
            ClientConnection connection,
            ProxyCore core,
            IncomingRequest incoming,
            PipelinedRequests pipelined,
            RequestAdmission admission) {
        this.channel = channel;
        this.connection = connection;
        this.core = core;
        this.incoming = incoming;
        this.pipelined = pipelined;
        this.admission = admission;
    }

    // ---- What is being read --------------------------------------------------------------------------

    /** Whether part of a body is still to be received. */
    boolean isReadingBody() {
        return incoming.isReadingBody();
    }

    /** Whether a request has been received only in part. */
    boolean isRequestIncomplete() {
        return connection.state() == ClientConnectionState.READING && lastContent == null;
    }

    /** Whether part of the request being read has been forwarded. */
    boolean isStreaming() {
        return incoming.isStreaming();
    }

    /** Whether a body is being read that must arrive at a minimum rate. */
    boolean hasMinimumRate() {
        return lastContent == null && incoming.hasMinimumRate();
    }

    /** Whether the body arrives more slowly than its minimum rate; call only if {@link #hasMinimumRate}. */
    boolean isBelowMinimumRate(long nowMicros) {
        return incoming.isBelowMinimumRate(nowMicros);
    }

    /** Checks whether all of the body being read has arrived, although reading is paused; call it regularly. */
    void checkArrival() {
        if (incoming.isReadingBody()) {
            incoming.checkArrival(readBytes);
        }
    }

    /** Whether input belongs to a pipelined request, behind the one that is being read or in flight. */
    private boolean isPipelined() {
        return lastContent != null || (!incoming.isReadingBody() && (connection.isBusy() || !pipelined.isEmpty()));
    }

    /** Whether another request waits behind the one in flight. */
    boolean hasPipelined() {
        return !pipelined.isEmpty();
    }

    /** Whether another request can be read: not if part of this one, or of the next one, is left unread. */
    boolean mayReadAnotherRequest() {
        return !incoming.isReadingBody() && pipelined.mayContinue();
    }

    // ---- Received from the channel -------------------------------------------------------------------

    /** Counts bytes before they are decoded, and discards them once too many are pipelined. */
    final class PipelineLimiter extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            int length = ((ByteBuf) bytes).readableBytes();
            readBytes += length;
            if (isPipelined()) {
                pipelined.countReceived(length);
            }
            if (pipelined.overflowed()) {
                ReferenceCountUtil.release(bytes);
            } else {
                ctx.fireChannelRead(bytes);
            }
        }
    }

    /** Processes or queues a decoded part of a request, or its rejection, and takes over its reference. */
    void received(Object message) {
        readInProgress = true;
        if (connection.discardsInput()) {
            ReferenceCountUtil.release(message);
        } else if (isPipelined()) {
            pipelined.add(message, core.now()); // keep reading, to notice a close by the client
        } else {
            receivedMicros = core.now();
            process(message);
        }
    }

    /** Called when the channel has no more to read for now. */
    void readCompleted() {
        if (!requestHandedOverInRead) {
            connection.requestIncomplete();
        }
        requestHandedOverInRead = false;
        readInProgress = false;
        if (lastContent != null) {
            channel.eventLoop().execute(this::processLastContent); // after a close received with it
        }
    }

    /**
     * Completes a request once the channel has no more to read for now. The close of a client that has disconnected
     * arrives with the last bytes of its request, and such a request must not be forwarded.
     */
    private void processLastContent() {
        LastHttpContent last = lastContent;
        lastContent = null;
        if (last != null && channel.isActive()) {
            incoming.addBodyPartAnsweringOnFailure(last, receivedMicros, readBytes);
        } else {
            ReferenceCountUtil.release(last);
        }
    }

    /** Called when the response is written: begins the next request if it has already been received. */
    void continueWithPipelined() {
        if (pipelined.isEmpty()) {
            pipelined.resetCount();
        } else {
            channel.eventLoop().execute(this::processPipelined);
        }
    }

    private void processPipelined() {
        while (!pipelined.isEmpty()
                && channel.isActive()
                && (connection.state() == ClientConnectionState.IDLE
                        || (connection.state() == ClientConnectionState.READING && incoming.isReadingBody()))) {
            PipelinedRequests.Part part = pipelined.poll();
            receivedMicros = part.receivedMicros();
            process(part.message());
        }
        if (pipelined.isEmpty()) {
            pipelined.resetCount();
        }
    }

    // ---- Reading a request ---------------------------------------------------------------------------

    /** Processes a part of the next request or of the one being read. */
    private void process(Object message) {
        if (message instanceof RequestValidator.Rejection rejection) {
            reject(rejection);
            return;
        }
        if (message instanceof HttpRequest head) {
            incoming.begin(head);
        }
        if (readInProgress && incoming.isReadingBody() && message instanceof LastHttpContent last) {
            requestHandedOverInRead = true;
            lastContent = last;
        } else if (message instanceof HttpContent content && incoming.addBodyPart(content, receivedMicros, readBytes)) {
            requestHandedOverInRead = readInProgress;
        }
    }

    // ---- A request that is not read to its end -------------------------------------------------------

    /** Rejects a request whose remaining input cannot or must not be read. */
    void reject(RequestValidator.Rejection rejection) {
        discardLastContent();
        if (!incoming.isStreaming()) {
            requestHandedOverInRead = readInProgress;
        }
        incoming.reject(rejection);
    }

    /** Called when the channel is closed: discards what was read, and ends the exchange in flight. */
    void clientDisconnected() {
        discardPipelined();
        incoming.clientDisconnected();
    }

    /** Discards what was read but not yet submitted. */
    void discardReceived() {
        discardPipelined();
        incoming.discard();
    }

    private void discardPipelined() {
        discardLastContent();
        admission.discardValidated();
        pipelined.discard();
    }

    private void discardLastContent() {
        ReferenceCountUtil.release(lastContent);
        lastContent = null;
    }

    /** Called when the channel is closed: removes its bytes from the pipelined bytes of all connections. */
    void stopCountingPipelined() {
        pipelined.resetCount();
    }
}
