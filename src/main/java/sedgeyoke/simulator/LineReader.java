package sedgeyoke.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;

/** Splits an input stream into lines, without creating a string for each line. */
final class LineReader {
    private static final int INITIAL_BUFFER_BYTES = 1 << 16;

    private final InputStream in;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    /** Index in the buffer of the current line's first byte; {@link #end} is that of its line feed. */
    private int start;

    private int end;
    private int filled;
    private boolean inputEnded;

    LineReader(InputStream in) {
        this.in = in;
    }

    /** Advances to the next line; returns false at the end of the input. */
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

    /**
     * Moves the unread bytes to the front of the buffer, and doubles the buffer if it is full.
     *
     * @return the number of bytes by which the unread bytes moved
     */
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

    /** Returns an array that starts with the current line, and may be longer than the line. */
    byte[] bytes() {
        return start == 0 ? buffer : Arrays.copyOfRange(buffer, start, end);
    }

    int length() {
        return end - start;
    }
}
