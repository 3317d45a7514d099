package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;

/**
 * Case 8: an upstream sends a long answer faster than the client reads it. The client reads at a steady rate; nothing
 * of the answer may be cut off.
 */
public final class SlowReader {
    private static final int ANSWER_BYTES = 16 << 20;
    private static final int SLOW_BYTES_PER_SECOND = 256_000;
    private static final int FAST_BYTES_PER_SECOND = 64_000_000;
    private static final int READS_PER_SECOND = 50;
    private static final int PART_BYTES = 32 << 10;
    private static final int BUDGET_MILLIS = 2_500;

    private final Case running;
    private final Record record;

    private SlowReader(Case running) {
        this.running = running;
        this.record = running.record();
    }

    /** Plays the case. */
    public static void main(String[] args) {
        Case.main(args, running -> new SlowReader(running).play());
    }

    private int play() throws IOException, InterruptedException {
        Discovery discovery = new Discovery();
        discovery.set("s-1", new Upstream(this::answer).address(), "a", "up", 0);
        int port = Balancer.freePort();
        String ops = "127.0.0.1:" + Balancer.freePort();
        running.start(
                port, Settings.balancer(port, ops, discovery.address(), discovery.list(-1), Settings.siteClasses()));
        long got = read(port, running.trouble() ? SLOW_BYTES_PER_SECOND : FAST_BYTES_PER_SECOND);
        record.line("the client got " + got + " of " + ANSWER_BYTES + " bytes");
        if (got < 0) {
            return Case.COULD_NOT_RUN;
        }
        return got < ANSWER_BYTES ? Case.BROKEN : Case.HELD;
    }

    /** The upstream: sends the answer as fast as the balancer takes it. */
    private boolean answer(Http.Head head, byte[] body, OutputStream out) throws IOException {
        out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + ANSWER_BYTES + "\r\n\r\n").getBytes());
        byte[] part = new byte[PART_BYTES];
        for (int sent = 0; sent < ANSWER_BYTES; sent += PART_BYTES) {
            try {
                out.write(part);
            } catch (IOException e) {
                record.line("upstream: cut off while it still gives, " + sent + " bytes written: " + e.getMessage());
                throw e;
            }
        }
        record.line("upstream: all is written");
        return true;
    }

    /** The client: reads at a steady rate; returns how much it got, or -1 if no answer began. */
    private long read(int port, int bytesPerSecond) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.getOutputStream().write(Requests.tradeConfirm("long-1", BUDGET_MILLIS, ""));
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 10);
            Http.Head head = Http.readHead(in);
            if (head == null || head.status() != 200) {
                record.line("client: no answer began: " + head);
                return -1;
            }
            record.line("client: the answer begins, " + bytesPerSecond + " bytes a second are read");
            return readBody(in, bytesPerSecond);
        }
    }

    private long readBody(InputStream in, int bytesPerSecond) {
        byte[] part = new byte[bytesPerSecond / READS_PER_SECOND];
        long startNanos = System.nanoTime();
        long got = 0;
        try {
            while (got < ANSWER_BYTES) {
                int length = in.read(part);
                if (length < 0) {
                    record.line("client: the connection ends before the announced length");
                    return got;
                }
                got += length;
                long dueNanos = startNanos + got * 1_000_000_000L / bytesPerSecond;
                Threads.sleep((dueNanos - System.nanoTime()) / 1_000_000);
            }
        } catch (IOException e) {
            record.line("client: " + e);
        }
        return got;
    }
}
