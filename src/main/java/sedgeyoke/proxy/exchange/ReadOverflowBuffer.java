package sedgeyoke.proxy.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Buffers the rest of a read after the receiver has asked for a pause. All of it is copied into one buffer: a read of a
 * few kilobytes may contain hundreds of tiny chunks, and each would take some hundred bytes in a queue. Not
 * thread-safe.
 */
public final class ReadOverflowBuffer {
    private final int maxReadBytes;
    private ByteBuf buffered = Unpooled.EMPTY_BUFFER;

    /** Creates an empty buffer for the rest of a read of at most {@code maxReadBytes} bytes. */
    public ReadOverflowBuffer(int maxReadBytes) {
        this.maxReadBytes = maxReadBytes;
    }

    /** Adds a part and takes ownership of it. */
    public void add(ByteBuf part) {
        if (!buffered.isReadable()) {
            buffered = part;
            return;
        }
        if (buffered.refCnt() > 1
                || buffered.writableBytes() < part.readableBytes()) { // shared, or a slice of the read buffer
            int needed = buffered.readableBytes() + part.readableBytes();
            ByteBuf larger = Unpooled.buffer(Math.max(needed, Math.min(2 * needed, maxReadBytes)));
            larger.writeBytes(buffered);
            buffered.release();
            buffered = larger;
        }
        buffered.writeBytes(part);
        part.release();
    }

    /** Whether nothing is buffered. */
    public boolean isEmpty() {
        return !buffered.isReadable();
    }

    /** The number of bytes that are buffered. */
    int size() {
        return buffered.readableBytes();
    }

    /** Removes and returns all that was added; the caller owns the buffer. */
    public ByteBuf take() {
        ByteBuf all = buffered;
        buffered = Unpooled.EMPTY_BUFFER;
        return all;
    }

    /** Releases all that is buffered. */
    public void release() {
        take().release();
    }
}
