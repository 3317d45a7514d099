package sedgeyoke.proxy;

import java.io.PrintStream;
import java.util.function.LongSupplier;

/**
 * A log of at most 20 lines a second, so that misbehaving peers cannot cost the time to write about them. One thread.
 */
public final class RateLimitedLog {
    private static final int MAX_LINES_PER_SECOND = 20;
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final PrintStream out;
    private final LongSupplier clockMicros;
    private long currentSecond;
    private int linesThisSecond;
    private long droppedLines;

    /** Writes to {@code out}; the clock gives microseconds. */
    public RateLimitedLog(PrintStream out, LongSupplier clockMicros) {
        this.out = out;
        this.clockMicros = clockMicros;
    }

    /** Writes a line, or drops and counts it if there were too many in this second. */
    public void line(String text) {
        long second = clockMicros.getAsLong() / MICROS_PER_SECOND;
        if (second != currentSecond) {
            startSecond(second);
        }
        if (linesThisSecond++ < MAX_LINES_PER_SECOND) {
            out.println(text);
        } else {
            droppedLines++;
        }
    }

    private void startSecond(long second) {
        if (droppedLines > 0) {
            out.println("(" + droppedLines + " lines left out)");
        }
        currentSecond = second;
        linesThisSecond = 0;
        droppedLines = 0;
    }
}
