package sedgeyoke.proxy.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Collects what is still received of one read after the receiver has asked for a pause. All of it goes into one buffer,
 * because a read of some kilobytes may bring hundreds of tiny chunks, and each would take some hundred bytes in a
 * queue. Not thread-safe.
 */
public final class ReadOverflowBuffer {
    private ByteBuf buffered = Unpooled.EMPTY_BUFFER;

    /** Adds a part and takes over its reference. */
    public void add(ByteBuf part) {
        if (!buffered.isReadable()) {
            buffered = part;
            return;
        }
        if (buffered.refCnt() > 1
                || buffered.writableBytes() < part.readableBytes()) { // shared, or a slice of what was read
            ByteBuf larger = Unpooled.buffer(2 * (buffered.readableBytes() + part.readableBytes()));
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

    /** All that was added, with its reference; afterwards this is empty. */
    public ByteBuf take() {
        ByteBuf all = buffered;
        buffered = Unpooled.EMPTY_BUFFER;
        return all;
    }

    /** Drops all that is buffered. */
    public void release() {
        take().release();
    }
}
