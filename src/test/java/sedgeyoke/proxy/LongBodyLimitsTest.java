package sedgeyoke.proxy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sedgeyoke.proxy.LongBodies.HEAD_OF_BODY_UNTIL_CLOSE;
import static sedgeyoke.proxy.LongBodies.MB;
import static sedgeyoke.proxy.LongBodies.bytes;
import static sedgeyoke.proxy.LongBodies.upload;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sedgeyoke.body.BodyLimits;

/** Bodies that reach a limit of memory, size or time. */
class LongBodyLimitsTest {
    private static final int TINY_CHUNKS = 60_000;
    /** The memory of a few heads, less than that of a body. */
    private static final int HEADS_BYTES = 8 * 1024;

    private static final BodyLimits ROOM_FOR_TWO_BODIES = new BodyLimits(
            true,
            64 * 1024,
            2 * 64 * 1024 + HEADS_BYTES,
            0,
            1_000_000,
            30_000_000,
            5_000_000,
            1L << 40,
            0,
            0,
            5_000_000);

    private static final BodyLimits TINY_CHUNK_LIMITS = new BodyLimits(
            true, 32 * 1024, 8L * MB, 0, 1_000_000, 30_000_000, 30_000_000, 1L << 40, 16 * 1024, 0, 30_000_000);

    /**
     * Each chunk takes some hundred bytes in a queue: queued one by one, they could exceed the memory budget tenfold.
     */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void tinyChunksStayWithinTheBufferLimit(boolean uploading) throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        AtomicReference<byte[]> arrived = new AtomicReference<>();
        byte[] body = new byte[TINY_CHUNKS];
        Arrays.fill(body, (byte) 'x');
        byte[] framed = ("1\r\nx\r\n".repeat(TINY_CHUNKS) + "0\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
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
                        .bodies(TINY_CHUNK_LIMITS)
                        .start()) {
            Socket client = lb.connect();
            String head = uploading
                    ? upload("a", "order", "Transfer-Encoding: chunked")
                    : Loopback.request("a", "order", 5_000);
            Thread writer = startWriter(client, head, uploading ? framed : new byte[0]);
            if (!uploading) {
                go.countDown();
            }
            Loopback.awaitStill(4 * 1024, () -> lb.budget(b -> b.peakBytes())); // nobody reads, so that buffers fill up
            go.countDown();
            ScriptedServer.Message got = Loopback.answer(client);
            writer.join();
            assertEquals(200, got.status());
            assertArrayEquals(body, uploading ? arrived.get() : got.raw());
            long largest = lb.budget(b -> b.peakBytes());
            assertTrue(largest > 4 * 1024 && largest <= 32 * 1024, "buffered " + largest);
        }
    }

    /** Writes on a separate thread, as the write blocks until the other side reads. */
    private static Thread startWriter(Socket client, String head, byte[] body) {
        Thread writer = new Thread(() -> {
            try {
                ScriptedServer.write(client, head);
                client.getOutputStream().write(body);
            } catch (IOException failure) {
                throw new UncheckedIOException(failure);
            }
        });
        writer.start();
        return writer;
    }

    @Test
    void withoutBodyMemoryLongRequestsAreRejectedAndShortOnesServed() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (ScriptedServer upstream = new ScriptedServer((request, socket) -> {
                    if (request.raw().length > 10_000) {
                        go.await();
                    }
                    ScriptedServer.reply(socket, 200, "x");
                });
                Loopback lb = Loopback.setup()
                        .upstream("u", upstream.address())
                        .bodies(ROOM_FOR_TWO_BODIES)
                        .start()) {
            Socket[] clients = new Socket[3];
            for (int i = 0; i < 3; i++) {
                clients[i] = lb.connect();
                ScriptedServer.write(clients[i], upload("a" + i, "order", "Content-Length: 100000"));
                clients[i].getOutputStream().write(new byte[100_000]);
                int sent = i + 1;
                if (i < 2) {
                    Loopback.await("the upload has arrived", () -> upstream.requests.size() == sent);
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
        BodyLimits strict =
                new BodyLimits(true, 64 * 1024, MB, 1_000, 300_000, 30_000_000, 5_000_000, 1L << 40, 0, 0, 5_000_000);
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
    void withoutStreamingTheDefaultLimitsApply() throws Exception {
        try (ScriptedServer upstream = ScriptedServer.serving("x");
                Loopback lb = Loopback.setup().upstream("u", upstream.address()).start()) {
            Socket client = lb.connect();
            ScriptedServer.write(client, upload("a", "order", "Content-Length: 65537"));
            assertEquals(413, Loopback.answer(client).status());
            assertArrayEquals(new int[] {0}, new int[] {upstream.requests.size()});
        }
    }

    @Test
    void anEndlessResponseIsTruncatedAtTheMaximumBodySize() throws Exception {
        BodyLimits small =
                new BodyLimits(true, 64 * 1024, 8L * MB, 1_000, 1_000_000, 30_000_000, 5_000_000, MB, 0, 0, 5_000_000);
        try (ScriptedServer upstream = new ScriptedServer((request, socket) -> {
                    ScriptedServer.write(socket, HEAD_OF_BODY_UNTIL_CLOSE);
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
            assertTrue(got.length < 2 * MB, "the response is truncated");
            assertTrue(
                    !new String(got, StandardCharsets.ISO_8859_1).endsWith("0\r\n\r\n"),
                    "the client can tell that it is truncated");
        }
    }
}
