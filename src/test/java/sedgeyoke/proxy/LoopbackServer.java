package sedgeyoke.proxy;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A server on loopback with a thread for each connection; a subclass says what is done with a connection. */
abstract class LoopbackServer implements AutoCloseable {
    /** More connections than any test opens at once: none is to be turned away as nobody has had the time. */
    private static final int BACKLOG = 1024;

    private final ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    /** All connections that were accepted, in that order. */
    final List<Socket> sockets = new CopyOnWriteArrayList<>();

    LoopbackServer() throws IOException {}

    /** Begins to accept connections. The last step of a constructor, as its fields are used from then on. */
    final void start() {
        startThread(this::accept);
    }

    /** Serves a connection until either side closes it, and closes it then. */
    abstract void serve(Socket socket);

    final String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** A response with these lines of headers. */
    static String response(int status, String body, String... headers) {
        String more = headers.length == 0 ? "" : String.join("\r\n", headers) + "\r\n";
        return "HTTP/1.1 " + status + " x\r\n" + more + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static void startThread(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                sockets.add(socket);
                startThread(() -> serve(socket));
            }
        } catch (IOException closed) {
            return; // the test is over
        }
    }

    @Override
    public void close() {
        try {
            listener.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
