package sedgeyoke.proxy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sedgeyoke.body.BodyLimits;

/** Long bodies in both directions, and all the ways in which they end early. */
class BodiesTest {
    private static final int MB = 1 << 20;
    private static final BodyLimits LIMITS =
            new BodyLimits(true, 64 * 1024, 8L * MB, 1_000, 1_000_000, 30_000_000, 5_000_000, 1L << 40, 0);

    private static byte[] bytes(int length) {
        byte[] bytes = new byte[length];
        new Random(length).nextBytes(bytes);
        return bytes;
    }

    private static String upload(String id, String cls, String framing) {
        return "POST /api?obj=o HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nX-Call-Class: " + cls
                + "\r\nX-Budget-Ms: 5000\r\n" + (cls.equals("update") ? "Idempotency-Key: k\r\n" : "") + framing
                + "\r\n\r\n";
    }

    private static Loopback serving(ScriptedServer upstream) throws Exception {
        return Loopback.setup().upstream("u", upstream.address()).bodies(LIMITS).start();
    }

    private static String digest(byte[] bytes) throws Exception {
        return Arrays.toString(MessageDigest.getInstance("SHA-256").digest(bytes));
    }

    @ParameterizedTest
    @CsvSource({"1000, true", "48000, true", "49153, true", "65537, false", "3000000, true", "3000000, false"})
    void bodiesAreForwardedUnchangedInBothDirections(int length, boolean declared) throws Exception {
        byte[] sent = bytes(length);
        AtomicReference<byte[]> arrived = new AtomicReference<>();
        byte[] answer = bytes(length + 7);
        try (ScriptedServer upstream = new ScriptedServer((request, socket) -> {
                    arrived.set(request.raw());
                    ScriptedServer.write(socket, "HTTP/1.1 200 x\r\nContent-Length: " + answer.length + "\r\n\r\n");
                    socket.getOutputStream().write(answer);
                });
                Loopback lb = serving(upstream)) {
            Socket client = lb.connect();
            OutputStream out = client.getOutputStream();
            if (declared) {
                ScriptedServer.write(client, upload("a", "order", "Content-Length: " + length));
                out.write(sent);
            } else {
                ScriptedServer.write(client, upload("a", "order", "Transfer-Encoding: chunked"));
                for (int at = 0; at < length; at += 5_000) {
                    int count = Math.min(5_000, length - at);
                    ScriptedServer.write(client, Integer.toHexString(count) + "\r\n");
                    out.write(sent, at, count);
                    ScriptedServer.write(client, "\r\n");
                }
                ScriptedServer.write(client, "0\r\n\r\n");
            }
            ScriptedServer.Message got = Loopback.answer(client);
            assertEquals(200, got.status());
            assertEquals(digest(answer), digest(got.raw()));
            assertEquals(digest(sent), digest(arrived.get()));
            assertEquals(
                    200,
                    Loopback.ask(client, Loopback.request("b", "order", 5_000)).status(),
                    "kept alive");
            Loopback.await("nothing is left", () -> lb.server.reservedForBodies() == 0);
        }
    }

    @Test
    void anUpstreamFasterThanItsClientIsPaused() throws Exception {
        AtomicLong written = new AtomicLong();
        try (ScriptedServer upstream = new ScriptedServer((request, socket) -> {
                    ScriptedServer.write(socket, "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n");
                    byte[] chunk = new byte[10_000];
                    for (int i = 0; i < 5_000; i++) {
                        ScriptedServer.write(socket, "2710\r\n");
                        socket.getOutputStream().write(chunk);
                        ScriptedServer.write(socket, "\r\n");
                        written.addAndGet(chunk.length);
                    }
                    ScriptedServer.write(socket, "0\r\nX-Sum: 7\r\nContent-Length: 3\r\n\r\n");
                });
                Loopback lb = serving(upstream)) {
            Socket client = new Socket();
            client.setReceiveBufferSize(16_384);
            client.connect(lb.address);
            client.setSoTimeout(20_000);
            ScriptedServer.write(client, Loopback.request("a", "order", 5_000));
            InputStream in = new BufferedInputStream(client.getInputStream());
            assertTrue(in.read() == 'H');
            long before = -1;
            while (written.get() != before) { // until it stops growing
                before = written.get();
                Thread.sleep(100);
            }
            assertTrue(before < 20_000_000, "not all of it can be anywhere: " + before);
            String all = new String(in.readNBytes(100), StandardCharsets.ISO_8859_1);
            assertTrue(all.contains("hunked"), all);
            String tail = "";
            byte[] buffer = new byte[1 << 16];
            while (!tail.endsWith("0\r\nx-sum: 7\r\n\r\n") && !tail.endsWith("0\r\nX-Sum: 7\r\n\r\n")) {
                int count = in.read(buffer);
                assertTrue(count > 0, "ended early: " + tail);
                tail = (tail + new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
                tail = tail.substring(Math.max(0, tail.length() - 40));
            }
            assertEquals(50_000_000, written.get());
            client.close();
        }
    }

    /** Each takes some hundred bytes of a queue: without a limit a peer could exceed the budget ten times over. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void tinyChunksStayUnderTheCeiling(boolean uploading) throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        AtomicReference<byte[]> arrived = new AtomicReference<>();
        int chunks = 60_000;
        byte[] body = new byte[chunks];
        Arrays.fill(body, (byte) 'x');
        byte[] framed = ("1\r\nx\r\n".repeat(chunks) + "0\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
        BodyLimits limits =
                new BodyLimits(true, 32 * 1024, 8L * MB, 0, 1_000_000, 30_000_000, 30_000_000, 1L << 40, 16 * 1024);
        try (ScriptedServer node = new ScriptedServer(
                        (request, socket) -> {
                            arrived.set(request.raw());
                            if (!uploading) {
                                ScriptedServer.write(socket, "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n");
                                socket.getOutputStream().write(framed);
                            } else {
                                ScriptedServer.reply(socket, 200, "done");
                            }
                        },
                        go);
                Loopback lb = Loopback.setup()
                        .upstream("u", node.address())
                        .bodies(limits)
                        .start()) {
            Socket client = lb.connect();
            Thread writer = new Thread(() -> {
                try {
                    ScriptedServer.write(
                            client,
                            uploading
                                    ? upload("a", "order", "Transfer-Encoding: chunked")
                                    : Loopback.request("a", "order", 5_000));
                    client.getOutputStream().write(uploading ? framed : new byte[0]);
                } catch (java.io.IOException failure) {
                    throw new java.io.UncheckedIOException(failure);
                }
            });
            writer.start();
            if (!uploading) {
                go.countDown();
            }
            Loopback.awaitStill(4 * 1024, () -> lb.budget(b -> b.peakBytes())); // nobody reads: all waits on the way
            go.countDown();
            ScriptedServer.Message got = Loopback.answer(client);
            writer.join();
            assertEquals(200, got.status());
            assertArrayEquals(body, uploading ? arrived.get() : got.raw());
            long largest = lb.budget(b -> b.peakBytes());
            assertTrue(largest > 4 * 1024 && largest <= 32 * 1024, "buffered " + largest);
        }
    }

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
            assertTrue(all.length < 500_000, "cut at " + all.length);
            assertTrue(new String(all, 0, 200, StandardCharsets.ISO_8859_1).contains("1000000"));
            assertEquals(1, upstream.requests.size(), "and not requested again");
        }
    }

    @Test
    void anUploadThatIsAbortedIsNeverComplete() throws Exception {
        AtomicInteger begun = new AtomicInteger();
        try (ScriptedServer upstream = new ScriptedServer((request, socket) -> begun.incrementAndGet());
                Loopback lb = serving(upstream)) {
            Socket client = lb.connect();
            ScriptedServer.write(client, upload("a", "order", "Content-Length: 2000000"));
            client.getOutputStream().write(new byte[500_000]);
            Loopback.await("it goes on", () -> upstream.sockets.size() == 1);
            client.close();
            Loopback.await("the node's connection is closed before the last byte", () -> upstream.left.get() == 1);
            assertEquals(0, begun.get());
            Loopback.await("nothing is left", () -> lb.server.reservedForBodies() == 0);
        }
    }

    /** The last byte was never written: whatever the class, trying again is harmless. */
    @Test
    void anUpstreamThatClosesDuringAnUploadCausesARejection() throws Exception {
        try (ScriptedServer upstream = new ScriptedServer((request, socket) -> {});
                Loopback lb = serving(upstream)) {
            Socket client = lb.connect();
            ScriptedServer.write(client, upload("a", "order", "Content-Length: 2000000"));
            client.getOutputStream().write(new byte[500_000]);
            Loopback.await("it goes on", () -> upstream.sockets.size() == 1);
            upstream.sockets.get(0).close();
            assertEquals(503, Loopback.answer(client).status());
        }
    }

    @Test
    void anUpstreamThatClosesAfterTheLastByteCausesAFailure() throws Exception {
        try (ScriptedServer upstream = new ScriptedServer((request, socket) -> socket.close());
                Loopback lb = serving(upstream)) {
            Socket client = lb.connect();
            ScriptedServer.write(client, upload("a", "order", "Content-Length: 200000"));
            client.getOutputStream().write(new byte[200_000]);
            assertEquals(502, Loopback.answer(client).status());
            assertEquals(1, upstream.requests.size());
        }
    }

    @Test
    void withoutRoomLongRequestsAreRejectedAndShortOnesServed() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        BodyLimits two =
                new BodyLimits(true, 64 * 1024, 2 * 64 * 1024, 0, 1_000_000, 30_000_000, 5_000_000, 1L << 40, 0);
        try (ScriptedServer upstream = new ScriptedServer((request, socket) -> {
                    if (request.raw().length > 10_000) {
                        go.await();
                    }
                    ScriptedServer.reply(socket, 200, "x");
                });
                Loopback lb = Loopback.setup()
                        .upstream("u", upstream.address())
                        .bodies(two)
                        .start()) {
            Socket[] clients = new Socket[3];
            for (int i = 0; i < 3; i++) {
                clients[i] = lb.connect();
                ScriptedServer.write(clients[i], upload("a" + i, "order", "Content-Length: 100000"));
                clients[i].getOutputStream().write(new byte[100_000]);
                int sent = i + 1;
                if (i < 2) {
                    Loopback.await("taken", () -> upstream.requests.size() == sent);
                }
            }
            assertEquals(503, Loopback.answer(clients[2]).status());
            assertEquals(200, lb.ask("short", "order", 5_000).status());
            go.countDown();
            assertEquals(200, Loopback.answer(clients[0]).status());
            assertEquals(200, Loopback.answer(clients[1]).status());
        }
    }

    @Test
    void aSlowUploadTimesOut() throws Exception {
        BodyLimits strict = new BodyLimits(true, 64 * 1024, MB, 1_000, 300_000, 30_000_000, 5_000_000, 1L << 40, 0);
        try (ScriptedServer upstream = ScriptedServer.serving("x");
                Loopback lb = Loopback.setup()
                        .upstream("u", upstream.address())
                        .bodies(strict)
                        .start()) {
            Socket client = lb.connect();
            ScriptedServer.write(client, upload("a", "order", "Content-Length: 100000"));
            client.getOutputStream().write(new byte[60]);
            assertEquals(408, Loopback.answer(client).status());
            assertEquals(0, upstream.requests.size());
        }
    }

    @Test
    void expectContinueIsAnswered() throws Exception {
        try (ScriptedServer upstream = ScriptedServer.serving("x");
                Loopback lb = serving(upstream)) {
            Socket client = lb.connect();
            ScriptedServer.write(client, upload("a", "order", "Content-Length: 4\r\nExpect: 100-continue"));
            InputStream in = new BufferedInputStream(client.getInputStream());
            assertEquals(100, ScriptedServer.read(in).status());
            ScriptedServer.write(client, "work");
            assertEquals(200, ScriptedServer.read(in).status());
        }
    }

    @Test
    void aMalformedLongBodyIsNeverForwardedCompletely() throws Exception {
        AtomicInteger begun = new AtomicInteger();
        try (ScriptedServer upstream = new ScriptedServer((request, socket) -> begun.incrementAndGet());
                Loopback lb = serving(upstream)) {
            Socket client = lb.connect();
            ScriptedServer.write(client, upload("a", "order", "Transfer-Encoding: chunked"));
            byte[] chunk = bytes(100_000);
            ScriptedServer.write(client, Integer.toHexString(chunk.length) + "\r\n");
            client.getOutputStream().write(chunk);
            Loopback.await("it goes on", () -> upstream.sockets.size() == 1);
            ScriptedServer.write(client, "\r\nffffffffffffffffffff\r\n");
            assertEquals(400, Loopback.answer(client).status());
            Loopback.await("closed", () -> upstream.left.get() == 1);
            assertEquals(0, begun.get());
        }
    }

    /** Its end came in the same read as the part that is too much; the connection once stayed deaf after that. */
    @Test
    void aLongRequestWithoutAnAttemptLeavesItsConnectionUsable() throws Exception {
        try (Loopback lb = Loopback.setup().bodies(LIMITS).start()) {
            Socket client = lb.connect();
            ScriptedServer.write(client, upload("a", "order", "Content-Length: 49160"));
            client.getOutputStream().write(new byte[49_160]);
            ScriptedServer.Message rejected = Loopback.answer(client);
            assertEquals(503, rejected.status());
            if (!"close".equals(rejected.headers().get("connection"))) {
                assertEquals(
                        503,
                        Loopback.ask(client, Loopback.request("b", "order", 300))
                                .status());
            }
        }
    }

    @Test
    void withoutStreamingTheDefaultLimitsApply() throws Exception {
        try (ScriptedServer upstream = ScriptedServer.serving("x");
                Loopback lb = Loopback.setup().upstream("u", upstream.address()).start()) {
            Socket client = lb.connect();
            ScriptedServer.write(client, upload("a", "order", "Content-Length: 65537"));
            assertEquals(413, Loopback.answer(client).status());
            assertArrayEquals(new int[] {0}, new int[] {upstream.requests.size()});
        }
    }

    private static final String UNTIL_THE_END = "HTTP/1.1 200 x\r\nConnection: close\r\n\r\n";

    @ParameterizedTest
    @CsvSource({"0", "300", "49153", "3000000"})
    void aResponseMayEndWithItsConnection(int length) throws Exception {
        byte[] answer = bytes(length);
        try (ScriptedServer upstream = new ScriptedServer((request, socket) -> {
                    ScriptedServer.write(socket, UNTIL_THE_END);
                    socket.getOutputStream().write(answer);
                    socket.close();
                });
                Loopback lb = serving(upstream)) {
            for (int i = 0; i < 3; i++) { // no connection that has ended so is used again
                ScriptedServer.Message got = lb.ask("id-" + i, "order", 5_000);
                assertEquals(200, got.status());
                assertEquals(digest(answer), digest(got.raw()));
            }
        }
    }

    /** A reset is no end: what came before it is half of an answer at best. */
    @ParameterizedTest
    @CsvSource({"300", "49153", "3000000"})
    void aResponseThatIsResetIsNotServed(int length) throws Exception {
        CountDownLatch read = new CountDownLatch(1);
        byte[] answer = bytes(length);
        try (ScriptedServer upstream = new ScriptedServer((request, socket) -> {
                    ScriptedServer.write(socket, UNTIL_THE_END);
                    socket.getOutputStream().write(answer);
                    read.await();
                    socket.setSoLinger(true, 0);
                    socket.close();
                });
                Loopback lb = serving(upstream)) {
            Socket client = lb.connect();
            ScriptedServer.write(client, Loopback.request("a", "order", 5_000));
            InputStream in = new BufferedInputStream(client.getInputStream());
            assertEquals('H', in.read(), "it is being passed on, a short one as it is slow");
            read.countDown();
            String got = new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(!got.endsWith("0\r\n\r\n"), "the client can tell");
        }
    }

    @Test
    void aResponseWithoutAnEndIsInvalid() throws Exception {
        try (ScriptedServer upstream = new ScriptedServer((request, socket) -> {
                    ScriptedServer.write(socket, "HTTP/1.1 200 x\r\n\r\nhalf");
                    socket.close();
                });
                Loopback lb = serving(upstream)) {
            assertEquals(502, lb.ask("a", "order", 5_000).status());
        }
    }

    /** An answer that says that its connection ends with it: the next request must not meet that end. */
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
                    Thread.sleep(200); // it closes when it likes
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

    @Test
    void anEndlessResponseIsTruncatedAtTheLargestBody() throws Exception {
        BodyLimits small = new BodyLimits(true, 64 * 1024, 8L * MB, 1_000, 1_000_000, 30_000_000, 5_000_000, MB, 0);
        try (ScriptedServer upstream = new ScriptedServer((request, socket) -> {
                    ScriptedServer.write(socket, UNTIL_THE_END);
                    while (true) {
                        socket.getOutputStream().write(bytes(100_000));
                    }
                });
                Loopback lb = Loopback.setup()
                        .upstream("u", upstream.address())
                        .bodies(small)
                        .start()) {
            Socket client = lb.connect();
            ScriptedServer.write(client, Loopback.request("a", "order", 5_000));
            byte[] got = client.getInputStream().readAllBytes();
            assertTrue(got.length < 2 * MB, "it ends");
            assertTrue(!new String(got, StandardCharsets.ISO_8859_1).endsWith("0\r\n\r\n"), "and the client can tell");
        }
    }
}
