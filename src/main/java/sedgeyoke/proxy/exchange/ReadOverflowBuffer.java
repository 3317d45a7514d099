package sedgeyoke.proxy.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Holds, in order, what was read of a body after its receiver asked for a pause: the rest of a read and, with
 * read-ahead, what follows it. Small parts are copied into blocks, because each of them would keep the buffer of its
 * read alive.
 */
public final class ReadOverflowBuffer {
    private final int blockBytes;
    private final Deque<ByteBuf> blocks = new ArrayDeque<>();
    private int size;

    /** Creates an empty buffer; a block holds at most the {@code maxReadBytes} of one read. */
    public ReadOverflowBuffer(int maxReadBytes) {
        this.blockBytes = maxReadBytes;
    }

    /** Adds a part and takes ownership of it. */
    public void add(ByteBuf part) {
        size += part.readableBytes();
        ByteBuf last = blocks.peekLast();
        if (last == null) {
            blocks.add(part);
            return;
        }
        if (!hasRoom(last, part)) {
            last = startBlock(last, part);
        }
        last.writeBytes(part);
        part.release();
    }

    /** A shared block, or a slice of a read buffer, has no room of its own. */
    private static boolean hasRoom(ByteBuf block, ByteBuf part) {
        return block.refCnt() == 1 && block.writableBytes() >= part.readableBytes();
    }

    /** Replaces the last block by a larger copy, or adds another one; returns the block that has room for the part. */
    private ByteBuf startBlock(ByteBuf last, ByteBuf part) {
        int needed = last.readableBytes() + part.readableBytes();
        if (needed <= blockBytes) {
            ByteBuf larger = Unpooled.buffer(Math.min(2 * needed, blockBytes));
            blocks.removeLast();
            larger.writeBytes(last);
            last.release();
            blocks.add(larger);
            return larger;
        }
        ByteBuf next = Unpooled.buffer(part.readableBytes(), Math.max(part.readableBytes(), blockBytes));
        blocks.add(next);
        return next;
    }

    /** Whether nothing is buffered. */
    public boolean isEmpty() {
        return blocks.isEmpty();
    }

    /** The number of bytes that are buffered. */
    int size() {
        return size;
    }

    /** Removes and returns the first bytes that were added; the caller owns the buffer. There must be some. */
    public ByteBuf take() {
        ByteBuf first = blocks.remove();
        size -= first.readableBytes();
        return first;
    }

    /** Releases all that is buffered. */
    public void release() {
        while (!blocks.isEmpty()) {
            take().release();
        }
    }
}
