package sedgeyoke.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.util.Arrays;

/** Bytes of a body that are put together here. Most bodies come in one part, which is copied once. */
final class BodyAccumulator {
    private static final byte[] NONE = {};

    private final int most;
    private byte[] bytes = NONE;
    private int size;

    /** No more than {@code most} bytes are ever added, and no more are ever held. */
    BodyAccumulator(int most) {
        this.most = most;
    }

    /** Copies a part; its reader index and count stay as they are. */
    void add(ByteBuf part) {
        int length = part.readableBytes();
        if (size == 0) {
            bytes = ByteBufUtil.getBytes(part);
        } else if (length > 0) {
            if (size + length > bytes.length) {
                bytes = Arrays.copyOf(bytes, Math.min(most, Math.max(size + length, 2 * bytes.length)));
            }
            part.getBytes(part.readerIndex(), bytes, size, length);
        }
        size += length;
    }

    int size() {
        return size;
    }

    /** All of it, and nothing but it. */
    byte[] bytes() {
        if (bytes.length != size) {
            bytes = Arrays.copyOf(bytes, size);
        }
        return bytes;
    }

    /** All of it; it is kept here no longer. */
    byte[] take() {
        byte[] all = bytes();
        clear();
        return all;
    }

    void clear() {
        bytes = NONE;
        size = 0;
    }
}
