package sedgeyoke.simulator;

import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;

/** The command {@code wirehost}: reads batches of events from standard input and writes a reply to each. */
public final class SimulatorMain {
    private static final int EXIT_OK = 0;
    private static final int EXIT_INVALID_INPUT = 1;
    private static final int EXIT_USAGE = 2;
    private static final int BUFFER_BYTES = 1 << 16;

    private SimulatorMain() {}

    /** Runs the command and exits with the code that {@link #run} returns. */
    public static void main(String[] args) {
        System.exit(run(args, System.in, System.out, System.err));
    }

    /**
     * Processes batches until the end of the input.
     *
     * @return the exit code: 0 at the end of the input, 1 for invalid input or an I/O error, 2 for a usage error
     */
    public static int run(String[] args, InputStream in, OutputStream stdout, PrintStream err) {
        if (args.length != 1 || !args[0].equals("wirehost")) {
            err.println("usage: java -jar sedgeyoke.jar wirehost");
            return EXIT_USAGE;
        }
        ReplyWriter replies = new ReplyWriter();
        EventDispatcher events = new EventDispatcher(new PolicyInstances(replies), err);
        BatchReader batches = new BatchReader(events, replies);
        long lineNumber = 0;
        try (OutputStream out = new BufferedOutputStream(stdout, BUFFER_BYTES)) {
            LineReader lines = new LineReader(in);
            while (lines.next()) {
                lineNumber++;
                ByteArrayOutputStream reply = batches.reply(lines.bytes(), lines.length());
                reply.writeTo(out);
                out.flush();
            }
            return EXIT_OK;
        } catch (InvalidInputException | IOException e) {
            err.println("line " + Math.max(lineNumber, 1) + ": " + e.getMessage());
            return EXIT_INVALID_INPUT;
        }
    }
}
