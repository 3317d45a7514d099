package sedgeyoke.standin;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.SplittableRandom;

/**
 * Content of long bodies, without a buffer per body: each body repeats one shared random block, starting at an offset.
 * A byte that is lost, repeated or swapped changes the digest.
 */
final class BulkContent {
    /** Length of the random block: not a power of two, so that it is no multiple of a buffer size. */
    private static final int SIZE = 1_000_003;

    private static final long SEED = 20_261_201;
    private static final byte[] BLOCK = new byte[SIZE];

    static {
        new SplittableRandom(SEED).nextBytes(BLOCK);
    }

    private BulkContent() {}

    /** Returns 1 to {@code maxBytes} bytes at a position of the body that starts at this offset of the block. */
    static ByteBuf part(int offset, long position, int maxBytes) {
        int start = (int) ((offset + position) % SIZE);
        return Unpooled.wrappedBuffer(BLOCK, start, Math.min(maxBytes, SIZE - start));
    }

    static MessageDigest digest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every Java platform has SHA-256
        }
    }
}
