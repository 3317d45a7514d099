package sedgeyoke.proxy.common;

import java.io.PrintStream;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * A log with a limited rate. Each line has a time, in seconds of a monotonic clock, and the name of the process. Lines
 * that peers can cause, lines about single requests and lines about our own state have separate budgets of 20 lines per
 * second, so that misbehaving peers can neither cost the time to log them nor hide a change of state. Not thread-safe.
 */
public final class RateLimitedLog {
    private static final int MAX_LINES_PER_SECOND = 20;

    private final PrintStream out;
    private final String name;
    private final LongSupplier clockMicros;
    private final Budget peerLines = new Budget();
    private final Budget requestLines = new Budget();
    private final Budget stateLines = new Budget();

    /** Writes to {@code out}; the clock returns microseconds. */
    public RateLimitedLog(PrintStream out, LongSupplier clockMicros) {
        this(out, "", clockMicros);
    }

    /** Writes to {@code out} with a name in each line; the clock returns microseconds. */
    public RateLimitedLog(PrintStream out, String name, LongSupplier clockMicros) {
        this.out = out;
        this.name = name.isEmpty() ? "" : name + ' ';
        this.clockMicros = clockMicros;
    }

    /** Writes a line that a peer can cause, or drops and counts it if there were too many in this second. */
    public void line(String text) {
        write(peerLines, () -> text);
    }

    /** Writes a line about the end of one request or attempt; the text is only built if the line is written. */
    public void request(Supplier<String> text) {
        write(requestLines, text);
    }

    /** Writes a line about a change of our own state; these lines have a separate budget. */
    public void state(String text) {
        write(stateLines, () -> text);
    }

    private void write(Budget budget, Supplier<String> text) {
        long now = clockMicros.getAsLong();
        long second = now / TimeUnits.MICROS_PER_SECOND;
        if (second != budget.second) {
            if (budget.dropped > 0) {
                print(now, "(" + budget.dropped + " lines suppressed)");
            }
            budget.startSecond(second);
        }
        if (budget.lines++ < MAX_LINES_PER_SECOND) {
            print(now, text.get());
        } else {
            budget.dropped++;
        }
    }

    private void print(long now, String text) {
        long millis = now / TimeUnits.MICROS_PER_MILLI;
        String fraction = Long.toString(1_000 + millis % 1_000).substring(1);
        out.println(millis / 1_000 + "." + fraction + ' ' + name + text);
    }

    /** The lines of one kind in the current second. */
    private static final class Budget {
        private long second;
        private int lines;
        private long dropped;

        void startSecond(long now) {
            second = now;
            lines = 0;
            dropped = 0;
        }
    }
}
