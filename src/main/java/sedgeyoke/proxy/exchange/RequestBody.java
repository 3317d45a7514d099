package sedgeyoke.proxy.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Passes the body of a request from a client to an upstream, independent of the protocol. A short body is buffered
 * completely and can be sent by several attempts. Of a long one only so much is buffered as the limit allows; the rest
 * is not read from the client until an attempt takes it, and what an attempt has taken is dropped here. To be used on
 * the event loop.
 */
public final class RequestBody {
    private final Source source;
    private final int maxUnstreamedBytes;
    private final BodyAccumulator buffered;
    private final ReadOverflowBuffer overflow = new ReadOverflowBuffer();
    /** Whether the last byte was received. */
    private boolean ended;
    /** Whether the body is too long to be buffered. */
    private boolean streams;
    /** Whether an attempt was given a part of it, even if that attempt has ended. */
    private boolean forwarding;
    /** Whether the rest will not be received. */
    private boolean aborted;
    /** Whether the sink has got all of it. */
    private boolean finished;
    /** Whether the sink has asked for a pause. */
    private boolean paused;

    /** The attempt that it is streamed to; null before that, and once the body or the attempt has ended early. */
    private Sink sink;

    /** The client's side. */
    public interface Source {
        /** Nothing more is to be read of the body for now; parts that were already read may still be added. */
        void pauseReading();

        /** More of the body is to be read. */
        void resumeReading();
    }

    /** The upstream's side. */
    public interface Sink {
        /** Writes a part and takes over its reference; false asks for a pause until {@link RequestBody#demand}. */
        boolean forward(ByteBuf data);

        /** The body is complete. */
        void end();

        /** The body ends early: its last byte must never be sent. */
        void abort();
    }

    /** A body of more than {@code maxUnstreamedBytes} is streamed. */
    public RequestBody(Source source, int maxUnstreamedBytes) {
        this.source = source;
        this.maxUnstreamedBytes = maxUnstreamedBytes;
        this.buffered = new BodyAccumulator(maxUnstreamedBytes);
    }

    // ---- Received from the client --------------------------------------------------------------------

    /** Adds a part and takes over its reference. True if from now on the body must be streamed. */
    public boolean add(ByteBuf part) {
        if (!part.isReadable()) {
            part.release();
            return false;
        }
        if (!streams && buffered.size() + part.readableBytes() <= maxUnstreamedBytes) {
            buffered.add(part);
            part.release();
            return false;
        }
        boolean streamingBegins = !streams;
        streams = true;
        if (sink == null || paused || !overflow.isEmpty()) {
            bufferOverflow(part);
            source.pauseReading();
        } else {
            write(part);
        }
        return streamingBegins;
    }

    /** Writes a part to the sink; true if the sink wants more. */
    private boolean write(ByteBuf part) {
        paused = true; // until the sink asks for more, which it may do before it returns
        if (sink.forward(part)) {
            paused = false;
        } else if (paused) {
            source.pauseReading();
        }
        return !paused;
    }

    /** Buffers what was already read when reading was paused. */
    private void bufferOverflow(ByteBuf part) {
        if (aborted || (forwarding && sink == null)) {
            part.release(); // no attempt will take it
        } else {
            overflow.add(part);
        }
    }

    /** The last byte was received. */
    public void end() {
        ended = true;
        if (streams && sink != null && overflow.isEmpty()) {
            finish();
        }
    }

    /** Ends the sink, once: it may ask for more while its last byte is being written. */
    private void finish() {
        if (!finished) {
            finished = true;
            sink.end();
        }
    }

    /** The client has left or was rejected: a request that has begun must never get its last byte. */
    public void abort() {
        aborted = true;
        overflow.release();
        if (sink != null && !ended) {
            Sink to = sink;
            sink = null;
            to.abort();
        }
    }

    // ---- Sent by an attempt --------------------------------------------------------------------------

    /** Whether the body is too long to be buffered and is streamed. */
    public boolean streams() {
        return streams;
    }

    /** Whether the last byte was received. */
    public boolean ended() {
        return ended;
    }

    /** Whether the sink has got all of a streamed body. */
    public boolean finished() {
        return finished;
    }

    /** Bytes that are buffered here. */
    public int bufferedBytes() {
        return buffered.size() + overflow.size();
    }

    /** A body that is buffered completely; callers must not change the array. */
    public byte[] bytes() {
        return buffered.bytes();
    }

    /** Whether an attempt was given a part of it, which is not buffered any more. */
    boolean isForwarding() {
        return forwarding;
    }

    /** Whether all of it was received and is buffered, so that any attempt can send it. */
    boolean isFullyBuffered() {
        return ended && !streams;
    }

    /** Streams the body to an attempt: what is buffered, then what is received. To be called once. */
    public void streamTo(Sink to) {
        forwarding = true;
        sink = to;
        if (write(Unpooled.wrappedBuffer(buffered.take()))) {
            demand();
        }
    }

    /** The sink can take more. */
    public void demand() {
        if (sink == null) {
            return;
        }
        paused = false;
        if (!overflow.isEmpty() && !write(overflow.take())) {
            return;
        }
        if (ended) {
            finish();
        } else {
            source.resumeReading();
        }
    }

    /** The attempt has ended: what is still received is discarded. */
    public void detach(Sink from) {
        if (sink == from) {
            sink = null;
            overflow.release();
            source.resumeReading();
        }
    }
}
