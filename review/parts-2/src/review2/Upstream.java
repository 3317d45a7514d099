package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A stand-in upstream: accepts connections and hands each complete request to a handler, on a thread a connection. */
public final class Upstream implements AutoCloseable {
    private final ServerSocket listener;
    private final Handler handler;

    /** Answers one request whose last byte has come. */
    public interface Handler {
        /** Writes the answer; returns false to close the connection afterwards. */
        boolean answer(Http.Head head, byte[] body, OutputStream out) throws IOException, InterruptedException;
    }

    /** Listens on a free loopback port. */
    public Upstream(Handler handler) throws IOException {
        this.handler = handler;
        this.listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Threads.start(this::accept);
    }

    /** The address for the list of discovery. */
    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Bytes of an answer with its length. */
    public static byte[] response(String status, String fields, String body) {
        return ("HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Threads.start(() -> serve(socket));
            }
        } catch (IOException closed) {
            return; // the case has ended
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                byte[] body = Http.readBody(head, in);
                if (!handler.answer(head, body, out)) {
                    return;
                }
            }
        } catch (IOException | InterruptedException e) {
            return; // the balancer has closed the connection, so the request did not come or its answer is not wanted
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
