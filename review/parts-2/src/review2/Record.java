package review2;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Writes what was sent, answered and run to {@code record.txt}, one line an event, with the milliseconds since the
 * start of the case. Lines are buffered and reach the file within a second. Thread-safe.
 */
public final class Record {
    private static final int FLUSH_MILLIS = 1_000;
    private static final int BUFFER_BYTES = 1 << 16;

    private final long startNanos = System.nanoTime();
    private final PrintStream out;

    /** Creates the file in a folder, replacing an earlier one. */
    public Record(Path folder) throws IOException {
        out = new PrintStream(
                new BufferedOutputStream(Files.newOutputStream(folder.resolve("record.txt")), BUFFER_BYTES),
                false,
                StandardCharsets.UTF_8);
        Threads.start(this::flushOften);
    }

    private void flushOften() {
        while (true) {
            Threads.sleep(FLUSH_MILLIS);
            flush();
        }
    }

    /** Milliseconds since the start of the case. */
    public long now() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    /** Adds a line. */
    public synchronized void line(String text) {
        out.println(now() + " ms  " + text);
    }

    /** Writes all lines to the file. */
    public synchronized void flush() {
        out.flush();
    }
}
