package sedgeyoke.proxy;

import java.io.PrintStream;
import java.util.function.LongSupplier;

/** The log, at a bounded rate: a peer that misbehaves must not cost us the time to write about it. */
public final class RateLimitedLog {
    private static final int LINES_PER_SECOND = 20;

    private final PrintStream out;
    private final LongSupplier micros;
    private long second;
    private int lines;
    private long dropped;

    /** Writes to {@code out}; the clock gives microseconds. To be used on one thread. */
    public RateLimitedLog(PrintStream out, LongSupplier micros) {
        this.out = out;
        this.micros = micros;
    }

    /** Writes a line, or counts it where there were too many in this second. */
    public void line(String text) {
        long now = micros.getAsLong() / 1_000_000;
        if (now != second) {
            if (dropped > 0) {
                out.println("(" + dropped + " lines left out)");
            }
            second = now;
            lines = 0;
            dropped = 0;
        }
        if (lines++ < LINES_PER_SECOND) {
            out.println(text);
        } else {
            dropped++;
        }
    }
}
