package sedgeyoke.proxy;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;

/** A server on loopback that keeps the bytes of each request and answers with what a test says. */
final class RawServer implements AutoCloseable {
    /** Answers nothing, and keeps the connection open. */
    static final String SILENCE = "";
    /** Closes the connection without an answer. */
    static final String CLOSE = "close";

    private final ServerSocket listener = new ServerSocket(0, 0, InetAddress.getByName("127.0.0.1"));
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final UnaryOperator<String> answers;
    /** The requests in the order in which they were read. */
    final List<String> requests = new CopyOnWriteArrayList<>();

    /** A server whose answer to a request is that of {@code answers}, which is called for one request at a time. */
    RawServer(UnaryOperator<String> answers) throws IOException {
        this.answers = answers;
        start(this::accept);
    }

    /** A server that gives these answers one after the other, and the last one from then on. */
    static RawServer answering(String... answers) throws IOException {
        AtomicInteger given = new AtomicInteger();
        return new RawServer(request -> answers[Math.min(given.getAndIncrement(), answers.length - 1)]);
    }

    /** A response with these lines of headers. */
    static String response(int status, String body, String... headers) {
        String more = headers.length == 0 ? "" : String.join("\r\n", headers) + "\r\n";
        return "HTTP/1.1 " + status + " x\r\n" + more + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private static void start(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                sockets.add(socket);
                start(() -> serve(socket));
            }
        } catch (IOException closed) {
            return; // the test is over
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                String answer = answerTo(RawMessages.read(in));
                if (answer.equals(CLOSE)) {
                    return;
                }
                ScriptedServer.write(socket, answer);
            }
        } catch (IOException closed) {
            return; // by the balancer, or by the end of the test
        }
    }

    private synchronized String answerTo(String request) {
        requests.add(request);
        return answers.apply(request);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
