package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/**
 * Case 7: an upstream writes a short answer in small pieces, more slowly than the client's time allows. At most half a
 * second after its time each request must have its final answer, or the client must be able to tell that the answer
 * is not whole.
 */
public final class SlowPieces {
    private static final int REQUESTS = 8;
    private static final int PIECES = 10;
    private static final int PIECE_BYTES = 30;
    private static final int PIECE_MILLIS = 500;
    private static final int BUDGET_MILLIS = 2_000;
    /** Half a second after its time, and the slack of time limits on sockets, a request is lost. */
    private static final int LOST_MILLIS = BUDGET_MILLIS + 500 + 50;

    private final Case running;
    private final Record record;

    private SlowPieces(Case running) {
        this.running = running;
        this.record = running.record();
    }

    /** Plays the case. */
    public static void main(String[] args) {
        Case.main(args, running -> new SlowPieces(running).play());
    }

    private int play() throws IOException, InterruptedException {
        Discovery discovery = new Discovery();
        discovery.set("s-1", new Upstream(this::answer).address(), "a", "up", 0);
        int port = Balancer.freePort();
        String ops = "127.0.0.1:" + Balancer.freePort();
        running.start(
                port, Settings.balancer(port, ops, discovery.address(), discovery.list(-1), Settings.siteClasses()));
        int answered = 0;
        int lost = 0;
        for (int number = 0; number < REQUESTS; number++) {
            String end = send(port, "p-" + number);
            answered += end.startsWith("answered") ? 1 : 0;
            lost += end.startsWith("LOST") ? 1 : 0;
            record.line("p-" + number + ": " + end);
        }
        record.line("sent " + REQUESTS + ", answered whole in time " + answered + ", lost " + lost);
        if (!running.trouble() && answered == 0) {
            return Case.COULD_NOT_RUN;
        }
        return lost > 0 ? Case.BROKEN : Case.HELD;
    }

    /** The upstream: works at once, and writes the answer in pieces. */
    private boolean answer(Http.Head head, byte[] body, OutputStream out) throws IOException {
        String id = head.field("X-Call-Id");
        record.line("run " + id);
        String piece = "x".repeat(PIECE_BYTES);
        out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + PIECES * PIECE_BYTES + "\r\n\r\n").getBytes());
        for (int number = 0; number < PIECES; number++) {
            out.write(piece.getBytes(StandardCharsets.ISO_8859_1));
            if (running.trouble()) {
                Threads.sleep(PIECE_MILLIS);
            }
        }
        record.line("upstream: the answer to " + id + " is written");
        return true;
    }

    /** Sends a request; returns what the client has of it half a second after its time. */
    private String send(int port, String id) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.getOutputStream().write(Requests.tradeConfirm(id, BUDGET_MILLIS, ""));
            long endNanos = System.nanoTime() + LOST_MILLIS * 1_000_000L;
            record.line("sent " + id);
            socket.setSoTimeout(LOST_MILLIS);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            return readUntil(endNanos, socket, in);
        } catch (SocketTimeoutException e) {
            return "LOST: no answer has begun";
        }
    }

    private String readUntil(long endNanos, Socket socket, InputStream in) throws IOException {
        Http.Head head = Http.readHead(in);
        if (head == null) {
            return "LOST: closed with no answer";
        }
        int length = Integer.parseInt(head.field("Content-Length"));
        for (int got = 0; got < length; got++) {
            long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
            if (leftMillis <= 0) {
                return unfinished(got, length);
            }
            socket.setSoTimeout((int) leftMillis);
            try {
                if (in.read() < 0) {
                    return "failed: the client can tell, " + got + " of " + length + " bytes";
                }
            } catch (SocketTimeoutException e) {
                return unfinished(got, length);
            }
        }
        return "answered: " + head.start();
    }

    private static String unfinished(int got, int length) {
        return "LOST: " + LOST_MILLIS + " ms after it was sent the client has " + got + " of " + length
                + " bytes on an open connection";
    }
}
