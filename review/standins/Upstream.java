import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A sound order node as a process of its own, so that a case can stop it: {@code Upstream ID PORT ANSWER_BYTES
 * WORK_MS}. It runs a request once its last byte has come, and answers 200. It prints a line for each head that it
 * reads, each request that it runs and each answer that is written.
 */
public final class Upstream {
    /** The answer to a request about an object whose name begins with "short". */
    private static final long SHORT_BYTES = 200;
    /** How much of an answer is written at once. */
    private static final int BLOCK_BYTES = 256 * 1024;

    private Upstream() {}

    public static void main(String[] args) throws IOException {
        String id = args[0];
        long answerBytes = Long.parseLong(args[2]);
        long workMs = Long.parseLong(args[3]);
        try (ServerSocket listener = new ServerSocket(Integer.parseInt(args[1]), 200, Rig.LOOPBACK)) {
            System.out.println("listens");
            while (true) {
                Socket socket = listener.accept();
                Rig.daemon(() -> serve(id, socket, answerBytes, workMs));
            }
        }
    }

    private static void serve(String id, Socket socket, long answerBytes, long workMs) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = socket.getInputStream();
            while (true) {
                String head = Rig.readHead(in);
                if (head.isEmpty()) {
                    return;
                }
                String call = Rig.field(head, "X-Call-Id");
                say("begin " + call);
                String length = Rig.field(head, "Content-Length");
                long left = length == null ? 0 : Long.parseLong(length);
                byte[] part = new byte[16 * 1024];
                while (left > 0) {
                    int read = in.read(part, 0, (int) Math.min(part.length, left));
                    if (read < 0) {
                        say("cut " + call + " with " + left + " bytes missing");
                        return;
                    }
                    left -= read;
                }
                say("run " + call);
                Thread.sleep(workMs);
                try {
                    answer(socket.getOutputStream(), id, call, head.contains("obj=short") ? SHORT_BYTES : answerBytes);
                } catch (IOException e) {
                    say("could not give all to " + call);
                    return;
                }
                say("answered " + call);
            }
        } catch (IOException e) {
            say("connection ended: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The body repeats the id of the request, so that its client can tell that it is its own. */
    private static void answer(OutputStream out, String id, String call, long bytes) throws IOException {
        out.write(("HTTP/1.1 200 OK\r\nX-Load-Report: {\"waiting\":0,\"cpu\":0.2,\"avg_ms\":20}\r\nContent-Length: "
                        + bytes + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        byte[] word = (call + " by " + id + "\n").getBytes(StandardCharsets.ISO_8859_1);
        byte[] block = new byte[Math.max(1, BLOCK_BYTES / word.length) * word.length];
        for (int i = 0; i < block.length; i++) {
            block[i] = word[i % word.length];
        }
        for (long written = 0; written < bytes; written += block.length) {
            out.write(block, 0, (int) Math.min(block.length, bytes - written));
        }
        out.flush();
    }

    private static synchronized void say(String line) {
        System.out.println(line);
    }
}
