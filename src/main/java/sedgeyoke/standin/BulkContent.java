package sedgeyoke.standin;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.SplittableRandom;

/**
 * Long bodies that need no memory: each is a stretch of one random block, repeated, that begins at an offset of its
 * own.
 * A byte that is lost, doubled or swapped changes the digest.
 */
final class BulkContent {
    /** No power of two, so that no buffer size divides it. */
    private static final int SIZE = 1_000_003;

    private static final byte[] BLOCK = new byte[SIZE];

    static {
        new SplittableRandom(20_261_201).nextBytes(BLOCK);
    }

    private BulkContent() {}

    /** At most {@code most} bytes of the body with this offset, from {@code at} on; one byte at least. */
    static ByteBuf part(int offset, long at, int most) {
        int from = (int) ((offset + at) % SIZE);
        return Unpooled.wrappedBuffer(BLOCK, from, Math.min(most, SIZE - from));
    }

    static MessageDigest digest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every Java has it
        }
    }
}
