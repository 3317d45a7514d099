package sedgeyoke.proxy.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.util.Arrays;

/** Collects the bytes of a body. Most bodies arrive in one part, which is copied only once. Not thread-safe. */
public final class BodyAccumulator {
    private static final byte[] EMPTY = {};

    private final int maxBytes;
    private byte[] bytes = EMPTY;
    private int size;

    /**
     * Creates an empty accumulator. Callers must not add more than {@code maxBytes} bytes; no more memory is allocated.
     */
    public BodyAccumulator(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Copies a part; its reader index and reference count do not change. */
    public void add(ByteBuf part) {
        int length = part.readableBytes();
        if (size == 0) {
            bytes = ByteBufUtil.getBytes(part);
        } else if (length > 0) {
            if (size + length > bytes.length) {
                bytes = Arrays.copyOf(bytes, capacityWith(length));
            }
            part.getBytes(part.readerIndex(), bytes, size, length);
        }
        size += length;
    }

    /** The size of the array that is used once {@code length} more bytes were added. */
    public int capacityWith(int length) {
        int needed = size + length;
        if (size == 0 || needed <= bytes.length) {
            return Math.max(needed, bytes.length);
        }
        return Math.min(maxBytes, Math.max(needed, 2 * bytes.length));
    }

    /** The number of bytes that were added. */
    public int size() {
        return size;
    }

    /** All bytes that were added; callers must not change the array. */
    byte[] bytes() {
        if (bytes.length != size) {
            bytes = Arrays.copyOf(bytes, size);
        }
        return bytes;
    }

    /** Removes and returns all bytes that were added. */
    public byte[] take() {
        byte[] all = bytes();
        clear();
        return all;
    }

    /** Discards all bytes. */
    public void clear() {
        bytes = EMPTY;
        size = 0;
    }
}
