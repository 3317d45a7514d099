package sedgeyoke.proxy.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;
import sedgeyoke.proxy.common.Transport;
import sedgeyoke.proxy.core.ProxyCore;

/**
 * Reads the requests of one connection in order. What the client pipelines behind the {@link IncomingRequest} or the
 * request in flight is held undecoded until the response is written. Event loop only.
 */
final class RequestReader implements RequestValidator.DecodingGate {
    /** So long a close is looked for behind a request whose client goes on sending. */
    private static final int MAX_PASSES_BEHIND_REQUEST = 16;
    /** A read buffer is replaced by a smaller copy if more than this of it is unused. */
    private static final int MAX_UNUSED_READ_BYTES = 4 * 1024;

    private final Channel channel;
    private final ClientConnection connection;
    private final ProxyCore core;
    private final IncomingRequest incoming;
    private final PipelinedInput pipelined;
    private final RequestAdmission admission;
    private final InputHandler input = new InputHandler();

    /** The end of the request being read, held back until no close was found behind it; null otherwise. */
    private LastHttpContent lastContent;
    /** Bytes that were read on this connection. */
    private long readBytes;
    /** When the last processed part of a request was received. */
    private long receivedMicros;
    /** Whether the channel is being read: from a read until its reads are complete. */
    private boolean readInProgress;
    /** Number of passes of the event loop in which the channel was read. */
    private long passes;
    /** What {@link #passes} was when {@link #lastContent} was received. */
    private long passesAtRequestEnd;
    /** Whether input is being decoded that was held before. */
    private boolean decodingHeld;
    /** Whether a request has ended in the input that was held. */
    private boolean heldRequestEnded;
    /** Whether {@link #processPipelined} is scheduled. */
    private boolean turnScheduled;
    /**
     * Whether those reads have delivered the end of a request, its rejection, or so much that it is being forwarded.
     */
    private boolean requestHandedOverInRead;

    RequestReader(
            Channel channel,
            ClientConnection connection,
            ProxyCore core,
            IncomingRequest incoming,
            PipelinedInput pipelined,
            RequestAdmission admission) {
        this.channel = channel;
        this.connection = connection;
        this.core = core;
        this.incoming = incoming;
        this.pipelined = pipelined;
        this.admission = admission;
    }

    /** The first handler of the channel's pipeline. */
    InputHandler input() {
        return input;
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
    private boolean isBehindRequest() {
        return lastContent != null || (!incoming.isReadingBody() && connection.isBusy());
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

    /** Passes input on to the decoder, or holds it while a request is in flight. */
    final class InputHandler extends ChannelInboundHandlerAdapter {
        private ChannelHandlerContext context;

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            context = ctx;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            readInProgress = true;
            readBytes += bytes.readableBytes();
            if (connection.discardsInput() || pipelined.overflowed()) {
                bytes.release();
            } else if (isBehindRequest() || !pipelined.isEmpty()) {
                pipelined.add(bytes, core.now()); // keep reading, to notice a close by the client
                bytes.release();
            } else {
                receivedMicros = core.now();
                ctx.fireChannelRead(compact(bytes));
            }
        }

        /** Passes the first bytes that are held on to the decoder. */
        private void decodeHeld() {
            receivedMicros = pipelined.firstReceivedMicros();
            decodingHeld = true;
            try {
                context.fireChannelRead(pipelined.takeFirst());
            } finally {
                decodingHeld = false;
            }
        }
    }

    /** Copies input that fills little of its buffer, as the decoder keeps the buffer of an incomplete head. */
    private ByteBuf compact(ByteBuf bytes) {
        if (incoming.isReadingBody() || bytes.capacity() - bytes.readableBytes() <= MAX_UNUSED_READ_BYTES) {
            return bytes;
        }
        ByteBuf copy = Unpooled.copiedBuffer(bytes);
        bytes.release();
        return copy;
    }

    @Override
    public boolean isClosed() {
        return isBehindRequest() || connection.discardsInput() || (decodingHeld && heldRequestEnded);
    }

    @Override
    public void handBack(ByteBuf rest) {
        if (connection.discardsInput()) {
            return;
        }
        if (decodingHeld) {
            pipelined.putBack(rest, receivedMicros);
        } else {
            pipelined.add(rest, receivedMicros);
        }
    }

    /** Processes a decoded part of a request, or its rejection, and takes over its reference. */
    void received(Object message) {
        if (connection.discardsInput()) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (decodingHeld && isEndOfRequest(message)) {
            heldRequestEnded = true;
            pipelined.requestRead();
        }
        process(message);
    }

    private static boolean isEndOfRequest(Object message) {
        return message instanceof LastHttpContent || message instanceof RequestValidator.Rejection;
    }

    /** Called at the end of the reads of one pass. */
    void readCompleted() {
        passes++;
        if (!requestHandedOverInRead && pipelined.isEmpty()) {
            connection.requestIncomplete();
        }
        requestHandedOverInRead = false;
        readInProgress = false;
        if (lastContent != null) {
            lookForClose();
        }
    }

    /**
     * Completes the request unless the client has closed the connection. The close may have arrived behind the last
     * bytes of the request, and such a request must not be forwarded.
     */
    private void lookForClose() {
        channel.config().setAutoRead(true);
        if (Transport.isReadToEnd(channel) || passes - passesAtRequestEnd > MAX_PASSES_BEHIND_REQUEST) {
            channel.eventLoop().execute(this::processLastContent); // after a close that was read just now
            return;
        }
        long passesBefore = passes;
        core.reads().afterPendingReads(readUntilMicros -> {
            if (passes == passesBefore) { // nothing was there to be read
                processLastContent();
            }
        });
    }

    private void processLastContent() {
        LastHttpContent last = lastContent;
        lastContent = null;
        if (last != null && channel.isActive()) {
            incoming.addBodyPartAnsweringOnFailure(last, receivedMicros, readBytes);
        } else {
            ReferenceCountUtil.release(last);
        }
    }

    /** Called when the response is written: begins the next request soon if it has already been received. */
    void continueWithPipelined() {
        if (!turnScheduled && !pipelined.isEmpty()) {
            turnScheduled = true;
            channel.eventLoop().schedule(this::processPipelined, 0, TimeUnit.NANOSECONDS);
        }
    }

    /**
     * Decodes one request that is held. The next one waits for a later pass of the event loop, even if this one was
     * answered at once: hundreds of requests of one client must not delay those of others. What is scheduled runs in a
     * later pass, while a task that is executed would run in the same one.
     */
    private void processPipelined() {
        turnScheduled = false;
        heldRequestEnded = false;
        if (pipelined.isEmpty()) {
            return; // discarded, as the connection is being closed
        }
        while (!pipelined.isEmpty() && channel.isActive() && !isClosed() && !heldRequestEnded) {
            input.decodeHeld();
        }
        if (!heldRequestEnded) {
            connection.requestIncomplete();
        } else if (!isClosed()) {
            continueWithPipelined();
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
            passesAtRequestEnd = passes;
            incoming.endReceived();
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
}
