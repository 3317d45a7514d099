package sedgeyoke.simulator;

import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;

/** Command line: {@code wirehost} reads batches on standard input and writes a reply for each. */
public final class SimulatorMain {
    private SimulatorMain() {}

    /** Runs the adapter; see {@link #run}. */
    public static void main(String[] args) {
        System.exit(run(args, System.in, System.out, System.err));
    }

    /** Runs until the end of input; returns 0, 1 after bad input, 2 after a wrong command line. */
    public static int run(String[] args, InputStream in, OutputStream stdout, PrintStream err) {
        if (args.length != 1 || !args[0].equals("wirehost")) {
            err.println("usage: java -jar sedgeyoke.jar wirehost");
            return 2;
        }
        ReplyWriter replies = new ReplyWriter();
        BatchReader batches = new BatchReader(new PolicyInstances(replies), replies, err);
        long line = 0;
        try (OutputStream out = new BufferedOutputStream(stdout, 1 << 16)) {
            Lines lines = new Lines(in);
            while (lines.next()) {
                line++;
                ByteArrayOutputStream reply = batches.answer(lines.bytes(), lines.length());
                reply.writeTo(out);
                out.flush();
            }
            return 0;
        } catch (InvalidInputException | IOException e) {
            err.println("line " + Math.max(line, 1) + ": " + e.getMessage());
            return 1;
        }
    }

    /** Splits a stream into lines without copying each into a string. */
    private static final class Lines {
        private final InputStream in;
        private byte[] buffer = new byte[1 << 16];
        private int from;
        private int to;
        private int filled;
        private boolean ended;

        Lines(InputStream in) {
            this.in = in;
        }

        boolean next() throws IOException {
            from = to == 0 ? 0 : Math.min(to + 1, filled);
            int scan = from;
            while (true) {
                for (; scan < filled; scan++) {
                    if (buffer[scan] == '\n') {
                        to = scan;
                        return true;
                    }
                }
                if (ended) {
                    to = filled;
                    return filled > from;
                }
                scan -= compact();
                int n = in.read(buffer, filled, buffer.length - filled);
                ended = n < 0;
                filled += Math.max(n, 0);
            }
        }

        private int compact() {
            int moved = from;
            System.arraycopy(buffer, from, buffer, 0, filled - from);
            filled -= from;
            from = 0;
            to = 0;
            if (filled == buffer.length) {
                buffer = java.util.Arrays.copyOf(buffer, 2 * buffer.length);
            }
            return moved;
        }

        byte[] bytes() {
            return from == 0 ? buffer : java.util.Arrays.copyOfRange(buffer, from, to);
        }

        int length() {
            return to - from;
        }
    }
}
