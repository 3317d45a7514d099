package sedgeyoke.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;

/** Splits a stream into lines without copying each into a string. */
final class LineReader {
    private static final int INITIAL_BUFFER_BYTES = 1 << 16;

    private final InputStream in;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    /** The present line without its end, as indices of the buffer. */
    private int start;

    private int end;
    private int filled;
    private boolean inputEnded;

    LineReader(InputStream in) {
        this.in = in;
    }

    /** Goes to the next line; false at the end of input. */
    boolean next() throws IOException {
        start = end == 0 ? 0 : Math.min(end + 1, filled);
        int position = start;
        while (true) {
            for (; position < filled; position++) {
                if (buffer[position] == '\n') {
                    end = position;
                    return true;
                }
            }
            if (inputEnded) {
                end = filled;
                return filled > start;
            }
            position -= moveToFront();
            int count = in.read(buffer, filled, buffer.length - filled);
            inputEnded = count < 0;
            filled += Math.max(count, 0);
        }
    }

    /** Makes room for more input, and returns how far the unread bytes have moved. */
    private int moveToFront() {
        int moved = start;
        System.arraycopy(buffer, start, buffer, 0, filled - start);
        filled -= start;
        start = 0;
        end = 0;
        if (filled == buffer.length) {
            buffer = Arrays.copyOf(buffer, 2 * buffer.length);
        }
        return moved;
    }

    /** An array that begins with the present line. */
    byte[] bytes() {
        return start == 0 ? buffer : Arrays.copyOfRange(buffer, start, end);
    }

    int length() {
        return end - start;
    }
}
