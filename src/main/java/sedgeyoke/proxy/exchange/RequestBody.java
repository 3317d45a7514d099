package sedgeyoke.proxy.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Passes a request body from the client to an upstream, independent of the protocol. A short body is buffered
 * completely and can be sent by several attempts. A long one is buffered up to the limit and streamed to a single
 * attempt: the rest is read from the client only as that attempt takes it, and forwarded parts are not kept. Event loop
 * only.
 */
public final class RequestBody {
    private final Source source;
    private final int maxUnstreamedBytes;
    private final BodyAccumulator buffered;
    private final ReadOverflowBuffer overflow;
    /** Whether the last byte was received. */
    private boolean ended;
    /** Whether the body is too long to be buffered. */
    private boolean streams;
    /** Whether a part of the body was forwarded to an attempt, even if that attempt has ended. */
    private boolean forwarding;
    /** Whether the rest will not be received. */
    private boolean aborted;
    /** Whether the sink has received all of the body. */
    private boolean finished;
    /** Whether the sink has asked for a pause. */
    private boolean paused;
    /** Whether {@link #forwardOverflow} is being executed. */
    private boolean forwardingOverflow;

    /** The attempt that the body is streamed to; null before, and after the body or the attempt has ended early. */
    private Sink sink;

    /** The client's side. */
    public interface Source {
        /** Stops reading the body for now; parts that were already read may still be added. */
        void pauseReading();

        /** Continues to read the body. */
        void resumeReading();
    }

    /** The upstream's side. */
    public interface Sink {
        /** Writes a part and takes ownership of it; false asks for a pause until {@link RequestBody#demand}. */
        boolean forward(ByteBuf data);

        /** The body is complete. */
        void end();

        /** The body ends early: its last byte must never be sent. */
        void abort();
    }

    /**
     * Creates an empty body.
     *
     * @param maxUnstreamedBytes the size beyond which it is streamed
     * @param maxReadBytes the most that one read from the client returns
     */
    public RequestBody(Source source, int maxUnstreamedBytes, int maxReadBytes) {
        this.source = source;
        this.maxUnstreamedBytes = maxUnstreamedBytes;
        this.buffered = new BodyAccumulator(maxUnstreamedBytes);
        this.overflow = new ReadOverflowBuffer(maxReadBytes);
    }

    // ---- Received from the client --------------------------------------------------------------------

    /** Adds a part and takes ownership of it; true if the body must be streamed from now on. */
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
        paused = true; // until the sink asks for more, possibly before forward() returns
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
            part.release(); // no attempt will send it
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

    /** Ends the sink, only once: it may call {@link #demand} again while the last part is being written. */
    private void finish() {
        if (!finished) {
            finished = true;
            sink.end();
        }
    }

    /** Aborts the body as its client has disconnected or was rejected: its last byte must never be sent. */
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

    /** Whether the sink has received all of a streamed body. */
    public boolean finished() {
        return finished;
    }

    /** The number of bytes that are buffered. */
    public int bufferedBytes() {
        return buffered.size() + overflow.size();
    }

    /** The memory that the buffered bytes take once {@code length} more were added, if it is not streamed. */
    public int bytesHeldWith(int length) {
        return buffered.capacityWith(length);
    }

    /** A body that is buffered completely; callers must not change the array. */
    public byte[] bytes() {
        return buffered.bytes();
    }

    /** Whether a part of the body was forwarded to an attempt and is no longer buffered. */
    boolean isForwarding() {
        return forwarding;
    }

    /** Whether all of the body was received and is buffered, so that any attempt can send it. */
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

    /** Forwards more, as the sink can take it. */
    public void demand() {
        paused = false;
        if (sink == null || forwardingOverflow) {
            return; // the call that is forwarding goes on
        }
        forwardOverflow();
        if (sink == null || paused || !overflow.isEmpty()) {
            return;
        }
        if (ended) {
            finish();
        } else {
            source.resumeReading();
        }
    }

    private void forwardOverflow() {
        forwardingOverflow = true;
        while (sink != null && !paused && !overflow.isEmpty()) {
            write(overflow.take());
        }
        forwardingOverflow = false;
    }

    /** Detaches the sink of an attempt that has ended; the rest of the body is discarded. */
    public void detach(Sink from) {
        if (sink == from) {
            sink = null;
            overflow.release();
            source.resumeReading();
        }
    }
}
