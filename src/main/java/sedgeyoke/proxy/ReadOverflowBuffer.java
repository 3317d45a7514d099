package sedgeyoke.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * What still comes of one read after the other side has asked for a pause. It is put together in one buffer: passed on
 * piece by piece, tiny chunks would each take some hundred bytes in a queue, and a read of some kilobytes holds
 * hundreds.
 */
final class ReadOverflowBuffer {
    private ByteBuf held = Unpooled.EMPTY_BUFFER;

    /** Takes over a part. */
    void add(ByteBuf part) {
        if (!held.isReadable()) {
            held = part;
            return;
        }
        if (held.refCnt() > 1 || held.writableBytes() < part.readableBytes()) { // it may be a view of what was read
            ByteBuf larger = Unpooled.buffer(2 * (held.readableBytes() + part.readableBytes()));
            larger.writeBytes(held);
            held.release();
            held = larger;
        }
        held.writeBytes(part);
        part.release();
    }

    boolean isEmpty() {
        return !held.isReadable();
    }

    int size() {
        return held.readableBytes();
    }

    /** All of it; nothing is held any more. */
    ByteBuf take() {
        ByteBuf all = held;
        held = Unpooled.EMPTY_BUFFER;
        return all;
    }

    void release() {
        take().release();
    }
}
