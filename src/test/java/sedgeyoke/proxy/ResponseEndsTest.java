package sedgeyoke.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sedgeyoke.proxy.LongBodies.HEAD_OF_BODY_UNTIL_CLOSE;
import static sedgeyoke.proxy.LongBodies.bytes;
import static sedgeyoke.proxy.LongBodies.digest;
import static sedgeyoke.proxy.LongBodies.serving;

import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The ways in which a response ends: at its declared length, with its connection, or too early. */
class ResponseEndsTest {
    /**
     * How long an upstream waits to close a connection after it has announced that; no request may be sent meanwhile.
     */
    private static final long CLOSE_DELAY_MILLIS = 200;

    private static final int PIECE_MILLIS = 300;
    private static final int BUDGET_MILLIS = 800;
    /** The platform counts a request as lost if its answer comes later than this after its time. */
    private static final int MAX_LATENESS_MILLIS = 500;

    @Test
    void aTruncatedResponseIsVisiblyIncomplete() throws Exception {
        try (ScriptedServer upstream = new ScriptedServer((request, socket) -> {
                    ScriptedServer.write(socket, "HTTP/1.1 200 x\r\nContent-Length: 1000000\r\n\r\n");
                    socket.getOutputStream().write(new byte[400_000]);
                    socket.close();
                });
                Loopback lb = serving(upstream)) {
            Socket client = lb.connect();
            ScriptedServer.write(client, Loopback.request("a", "read", 5_000));
            byte[] all = client.getInputStream().readAllBytes();
            assertTrue(all.length < 500_000, "truncated at " + all.length);
            assertTrue(new String(all, 0, 200, StandardCharsets.ISO_8859_1).contains("1000000"));
            assertEquals(1, upstream.requests.size(), "the request is not retried");
        }
    }

    @ParameterizedTest
    @CsvSource({"0", "300", "49153", "3000000"})
    void aResponseMayEndWithItsConnection(int length) throws Exception {
        byte[] answer = bytes(length);
        try (ScriptedServer upstream = new ScriptedServer((request, socket) -> {
                    ScriptedServer.write(socket, HEAD_OF_BODY_UNTIL_CLOSE);
                    socket.getOutputStream().write(answer);
                    socket.close();
                });
                Loopback lb = serving(upstream)) {
            for (int i = 0; i < 3; i++) { // a connection that has ended like this is not reused
                ScriptedServer.Message got = lb.ask("id-" + i, "order", 5_000);
                assertEquals(200, got.status());
                assertEquals(digest(answer), digest(got.raw()));
            }
        }
    }

    /**
     * Guards against short responses without an end: an upstream writes one in pieces, more slowly than the time of the
     * request allows. The client must be able to tell by then that it is incomplete.
     */
    @ParameterizedTest
    @CsvSource({"Content-Length: 300", "Transfer-Encoding: chunked", "Connection: close"})
    void aShortResponseInSlowPiecesEndsWithTheTimeOfItsRequest(String framing) throws Exception {
        try (ScriptedServer upstream = new ScriptedServer((request, socket) -> {
                    ScriptedServer.write(socket, "HTTP/1.1 200 x\r\n" + framing + "\r\n\r\n");
                    for (int i = 0; i < 10; i++) {
                        ScriptedServer.write(socket, (framing.startsWith("T") ? "1e\r\n" : "") + "x".repeat(30));
                        ScriptedServer.write(socket, framing.startsWith("T") ? "\r\n" : "");
                        Thread.sleep(PIECE_MILLIS);
                    }
                });
                Loopback lb = serving(upstream)) {
            Socket client = lb.connect();
            client.setSoTimeout(BUDGET_MILLIS + MAX_LATENESS_MILLIS);
            long start = System.nanoTime();
            ScriptedServer.write(client, Loopback.request("a", "read", BUDGET_MILLIS));
            String got = new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            long millis = (System.nanoTime() - start) / 1_000_000;
            assertTrue(millis <= BUDGET_MILLIS + MAX_LATENESS_MILLIS, "ended after " + millis + " ms");
            assertTrue(got.startsWith("HTTP/1.1 200"), got);
            assertTrue(!got.endsWith("0\r\n\r\n") && !got.contains("x".repeat(300)), got);
        }
    }

    /** Guards against the same where the response begins before the end of the upload, whose limit is much longer. */
    @Test
    void aShortResponseThatBeginsDuringTheUploadEndsWithTheTimeOfItsRequest() throws Exception {
        int length = 200_000;
        int rest = 50_000;
        try (LoopbackServer upstream = new EarlyResponder(length);
                Loopback lb = Loopback.setup()
                        .upstream("u", upstream.address())
                        .bodies(LongBodies.LIMITS)
                        .start()) {
            upstream.start();
            Socket client = lb.connect();
            String head = LongBodies.upload("a", "order", "Content-Length: " + length);
            ScriptedServer.write(client, head.replace("X-Budget-Ms: 5000", "X-Budget-Ms: " + BUDGET_MILLIS));
            client.getOutputStream().write(new byte[length - rest]);
            InputStream in = client.getInputStream();
            assertEquals('H', in.read(), "the response has begun");
            client.getOutputStream().write(new byte[rest]);
            long start = System.nanoTime();
            client.setSoTimeout(BUDGET_MILLIS + MAX_LATENESS_MILLIS);
            String got = new String(in.readAllBytes(), StandardCharsets.US_ASCII);
            long millis = (System.nanoTime() - start) / 1_000_000;
            assertTrue(millis <= BUDGET_MILLIS + MAX_LATENESS_MILLIS, "ended after " + millis + " ms");
            assertTrue(got.startsWith("TTP/1.1 200") && !got.contains("x".repeat(300)), got);
        }
    }

    /** Begins its response after the first bytes of a request, and goes on with it in slow pieces. */
    private static final class EarlyResponder extends LoopbackServer {
        private final int length;

        EarlyResponder(int length) throws java.io.IOException {
            this.length = length;
        }

        @Override
        void serve(Socket socket) {
            try (socket) {
                socket.getInputStream().readNBytes(1_000);
                ScriptedServer.write(socket, "HTTP/1.1 200 x\r\nContent-Length: 300\r\n\r\n");
                ScriptedServer.write(socket, "x".repeat(30));
                socket.getInputStream().readNBytes(length - 1_000);
                for (int i = 1; i < 10; i++) {
                    Thread.sleep(PIECE_MILLIS);
                    ScriptedServer.write(socket, "x".repeat(30));
                }
            } catch (java.io.IOException | InterruptedException e) {
                return; // closed by the balancer, or by the end of the test
            }
        }
    }

    /** Guards against cutting off a long response, of which only the first bytes are timed. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void aLongResponseInSlowPiecesIsForwardedAfterTheTimeOfItsRequest(boolean lengthDeclared) throws Exception {
        byte[] piece = bytes(70_000);
        String framing = lengthDeclared ? "Content-Length: " + 4 * piece.length : "Connection: close";
        try (ScriptedServer upstream = new ScriptedServer((request, socket) -> {
                    ScriptedServer.write(socket, "HTTP/1.1 200 x\r\n" + framing + "\r\n\r\n");
                    for (int i = 0; i < 4; i++) {
                        socket.getOutputStream().write(piece);
                        Thread.sleep(PIECE_MILLIS);
                    }
                    socket.close();
                });
                Loopback lb = serving(upstream)) {
            ScriptedServer.Message got = lb.ask("a", "read", BUDGET_MILLIS);
            assertEquals(4 * piece.length, got.raw().length);
        }
    }

    /** A reset does not end a response: what arrived before it may be incomplete. */
    @ParameterizedTest
    @CsvSource({"300", "49153", "3000000"})
    void aResponseThatIsResetIsVisiblyIncomplete(int length) throws Exception {
        CountDownLatch read = new CountDownLatch(1);
        byte[] answer = bytes(length);
        try (ScriptedServer upstream = new ScriptedServer((request, socket) -> {
                    ScriptedServer.write(socket, HEAD_OF_BODY_UNTIL_CLOSE);
                    socket.getOutputStream().write(answer);
                    read.await();
                    socket.setSoLinger(true, 0);
                    socket.close();
                });
                Loopback lb = serving(upstream)) {
            Socket client = lb.connect();
            ScriptedServer.write(client, Loopback.request("a", "order", 5_000));
            InputStream in = new BufferedInputStream(client.getInputStream());
            assertEquals('H', in.read(), "the response is being streamed, a short one because it is slow");
            read.countDown();
            String got = new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(!got.endsWith("0\r\n\r\n"), "the client can tell that it is truncated");
        }
    }

    @Test
    void aResponseWithoutALengthOnAPersistentConnectionIsInvalid() throws Exception {
        try (ScriptedServer upstream = new ScriptedServer((request, socket) -> {
                    ScriptedServer.write(socket, "HTTP/1.1 200 x\r\n\r\nhalf");
                    socket.close();
                });
                Loopback lb = serving(upstream)) {
            assertEquals(502, lb.ask("a", "order", 5_000).status());
        }
    }

    /** The response announces the end of its connection: the next request must not be sent on it. */
    @Test
    void aLongResponseWithConnectionCloseIsTheLastOnItsConnection() throws Exception {
        byte[] answer = bytes(3_000_000);
        AtomicInteger connections = new AtomicInteger();
        try (ScriptedServer upstream = new ScriptedServer((request, socket) -> {
                    connections.incrementAndGet();
                    ScriptedServer.write(
                            socket,
                            "HTTP/1.1 200 x\r\nConnection: close\r\nContent-Length: " + answer.length + "\r\n\r\n");
                    socket.getOutputStream().write(answer);
                    Thread.sleep(CLOSE_DELAY_MILLIS);
                    socket.close();
                });
                Loopback lb = serving(upstream)) {
            for (int i = 0; i < 3; i++) {
                assertEquals(
                        digest(answer), digest(lb.ask("id-" + i, "order", 5_000).raw()));
            }
            assertEquals(3, connections.get());
        }
    }
}
