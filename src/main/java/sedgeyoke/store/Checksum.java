package sedgeyoke.store;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * Computes a CRC-32C (Castagnoli, RFC 3720 appendix B.4) over the content of a block and the position where it belongs.
 */
final class Checksum {
    private final CRC32C crc = new CRC32C();

    /** Adds numbers, such as the identity of a directory and an offset in a file, each as eight bytes big-endian. */
    Checksum with(long... numbers) {
        ByteBuffer bytes = ByteBuffer.allocate(Long.BYTES * numbers.length);
        for (long number : numbers) {
            bytes.putLong(number);
        }
        crc.update(bytes.array());
        return this;
    }

    /** Adds bytes. */
    Checksum with(byte[] bytes) {
        crc.update(bytes);
        return this;
    }

    /** Returns the checksum. It is never 0, because a block that was never written reads as zeros. */
    int value() {
        int sum = (int) crc.getValue();
        return sum == 0 ? 1 : sum;
    }
}
