package sedgeyoke.proxy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import sedgeyoke.body.BodyLimits;
import sedgeyoke.proxy.exchange.RequestBody;

/** For any splits, pauses and resets, a body is received unchanged or is visibly truncated, and no memory is leaked. */
class BodyPropertiesTest {
    private static final int MAX_BUFFERED_BYTES = 64 * 1024;
    private static final BodyLimits LIMITS = new BodyLimits(
            true, MAX_BUFFERED_BYTES, 64L << 20, 0, 1_000_000, 30_000_000, 5_000_000, 1L << 40, 0, 0, 5_000_000);
    private static final int MAX_BYTES_PER_READ = LIMITS.maxReadBytes();
    private static final int MAX_BODY_BYTES = 400_000;
    private static final Map<String, byte[]> RECEIVED = new ConcurrentHashMap<>();
    private static final Map<String, ScriptedResponse> RESPONSES = new ConcurrentHashMap<>();
    private static ScriptedServer node;
    private static Loopback lb;
    private static int number;

    /**
     * How a node responds to a request: the body, the lengths of its writes, and after how many bytes it closes the
     * connection.
     */
    private record ScriptedResponse(byte[] body, boolean chunked, int[] splits, int cutAt) {}

    @BeforeContainer
    static void start() throws Exception {
        node = new ScriptedServer((request, socket) -> {
            String id = request.headers().get("x-call-id");
            RECEIVED.put(id, request.raw());
            write(socket, RESPONSES.get(id));
        });
        lb = Loopback.setup().upstream("u", node.address()).bodies(LIMITS).start();
    }

    @AfterContainer
    static void end() throws Exception {
        Loopback.await("no memory is reserved for bodies", () -> lb.server.reservedForBodies() == 0);
        lb.close();
        node.close();
        assertTrue(LeakRecorder.isInstalled());
        LeakRecorder.assertNone();
    }

    // ---- RequestBody alone ---------------------------------------------------------------------------

    /**
     * The client pauses when asked, but delivers the current read completely; the attempt pauses, asks for more or ends
     * at random.
     */
    @Property(seed = "20261201", tries = 2_000)
    void aBodyIsForwardedCompletelyOrNeverEnds(
            @ForAll @Size(min = 1, max = 60) List<@IntRange(min = 1, max = 12_000) Integer> parts, @ForAll long seed) {
        Upload upload = new Upload(parts, new Random(seed));
        for (int step = 0; step < 4_000 && !upload.endedEarly && !upload.sink.ended; step++) {
            upload.step();
            assertTrue(upload.body.bufferedBytes() <= MAX_BUFFERED_BYTES, "buffered " + upload.body.bufferedBytes());
        }
        upload.assertCompleteOrAborted();
    }

    /** One body that is being forwarded, with random actions of the client and of the attempt. */
    private static final class Upload implements RequestBody.Source {
        private final List<Integer> parts;
        private final Random random;
        private final byte[] all;
        private final List<ByteBuf> createdParts = new ArrayList<>();
        private boolean reading = true;
        private final RequestBody body =
                new RequestBody(this, LIMITS.maxUnstreamedBytes(), LIMITS.maxSocketReadBytes());
        private final RandomSink sink;
        private int at;
        private int next;
        private boolean streaming;
        private boolean endedEarly;

        Upload(List<Integer> parts, Random random) {
            this.parts = parts;
            this.random = random;
            this.all = new byte[parts.stream().mapToInt(Integer::intValue).sum()];
            this.sink = new RandomSink(random);
            random.nextBytes(all);
        }

        @Override
        public void pauseReading() {
            reading = false;
        }

        @Override
        public void resumeReading() {
            reading = true;
        }

        void step() {
            switch (random.nextInt(12)) {
                case 0, 1, 2, 3, 4 -> read();
                case 5, 6 -> {
                    if (!streaming && body.streams()) {
                        streaming = true;
                        body.streamTo(sink);
                    }
                }
                case 7, 8, 9, 10 -> {
                    if (streaming && sink.full) {
                        sink.full = false;
                        body.demand();
                    }
                }
                default -> {
                    endedEarly = random.nextInt(200) == 0;
                    if (endedEarly && streaming && random.nextBoolean()) {
                        body.detach(sink);
                    } else if (endedEarly) {
                        body.abort();
                    }
                }
            }
        }

        /** Adds all parts of one read, even if a pause is requested meanwhile. */
        private void read() {
            if (!reading || next == parts.size()) {
                return;
            }
            for (int room = MAX_BYTES_PER_READ; next < parts.size() && parts.get(next) <= room; next++) {
                ByteBuf part = Unpooled.copiedBuffer(all, at, parts.get(next));
                createdParts.add(part);
                room -= parts.get(next);
                at += parts.get(next);
                body.add(part);
            }
            if (next == parts.size()) {
                body.end();
            }
        }

        void assertCompleteOrAborted() {
            byte[] got = sink.got.toByteArray();
            if (!body.streams() && body.ended()) {
                assertArrayEquals(all, body.bytes());
            } else {
                assertArrayEquals(sink.ended ? all : Arrays.copyOf(all, got.length), got);
            }
            body.abort();
            sink.ownedParts.forEach(ByteBuf::release);
            createdParts.forEach(part -> assertEquals(0, part.refCnt()));
        }
    }

    /** A receiver that is full at random times and, as a socket might, keeps all parts until the end of the test. */
    private static final class RandomSink implements RequestBody.Sink {
        private final Random random;
        private final ByteArrayOutputStream got = new ByteArrayOutputStream();
        private final List<ByteBuf> ownedParts = new ArrayList<>();
        private boolean full;
        private boolean ended;
        private boolean aborted;

        RandomSink(Random random) {
            this.random = random;
        }

        @Override
        public boolean forward(ByteBuf data) {
            assertFalse(ended || aborted || (full && data.readableBytes() > MAX_BUFFERED_BYTES));
            ownedParts.add(data);
            got.writeBytes(io.netty.buffer.ByteBufUtil.getBytes(data));
            full = random.nextInt(3) == 0;
            return !full;
        }

        @Override
        public void end() {
            assertFalse(ended || aborted, "it ends twice");
            ended = true;
        }

        @Override
        public void abort() {
            assertFalse(ended, "it is aborted after its end");
            aborted = true;
        }
    }

    // ---- Through the balancer ------------------------------------------------------------------------

    @Property(seed = "20261201", tries = 120, shrinking = ShrinkingMode.OFF)
    void bodiesOfBothDirectionsAreForwardedUnchanged(
            @ForAll @IntRange(max = MAX_BODY_BYTES) int uploadBytes,
            @ForAll @IntRange(max = MAX_BODY_BYTES) int downloadBytes,
            @ForAll boolean chunkedUp,
            @ForAll boolean chunkedDown,
            @ForAll @Size(min = 1, max = 8) int[] splits)
            throws Exception {
        String id = "p" + number++;
        byte[] sent = bytes(uploadBytes, number);
        byte[] answer = bytes(downloadBytes, -number);
        RESPONSES.put(id, new ScriptedResponse(answer, chunkedDown, splits, Integer.MAX_VALUE));
        try (Socket client = lb.connect()) {
            ask(client, id, sent, chunkedUp, splits, Integer.MAX_VALUE);
            ScriptedServer.Message got = Loopback.answer(client);
            assertEquals(200, got.status());
            assertArrayEquals(answer, got.raw());
            assertArrayEquals(sent, RECEIVED.remove(id));
        }
    }

    /**
     * The client disconnects during the upload: the node never receives the last byte, and so never handles the
     * request.
     */
    @Property(seed = "20261201", tries = 60, shrinking = ShrinkingMode.OFF)
    void anIncompleteUploadIsNeverHandledByTheNode(
            @ForAll @IntRange(min = 2, max = MAX_BODY_BYTES) int uploadBytes,
            @ForAll boolean chunked,
            @ForAll @IntRange(min = 1, max = 99) int percent,
            @ForAll @Size(min = 1, max = 8) int[] splits)
            throws Exception {
        String id = "q" + number++;
        RESPONSES.put(id, new ScriptedResponse(new byte[0], false, splits, Integer.MAX_VALUE));
        try (Socket client = lb.connect()) {
            ask(client, id, bytes(uploadBytes, number), chunked, splits, Math.max(1, (int)
                    ((long) uploadBytes * percent / 100)));
        }
        Loopback.await("no memory is reserved for bodies", () -> lb.server.reservedForBodies() == 0 && idle());
        assertFalse(RECEIVED.containsKey(id));
    }

    /**
     * The node disconnects during the response: the client gets a complete error response or can tell that the response
     * is truncated.
     */
    @Property(seed = "20261201", tries = 60, shrinking = ShrinkingMode.OFF)
    void anIncompleteResponseIsNeverTakenForComplete(
            @ForAll @IntRange(min = 2, max = MAX_BODY_BYTES) int downloadBytes,
            @ForAll boolean chunked,
            @ForAll @IntRange(min = 1, max = 99) int percent,
            @ForAll @Size(min = 1, max = 8) int[] splits)
            throws Exception {
        String id = "s" + number++;
        byte[] answer = bytes(downloadBytes, number);
        RESPONSES.put(id, new ScriptedResponse(answer, chunked, splits, Math.max(1, (int)
                ((long) downloadBytes * percent / 100))));
        try (Socket client = lb.connect()) {
            ask(client, id, bytes(100, number), false, splits, Integer.MAX_VALUE);
            ScriptedServer.Message got = readUnlessTruncated(client);
            assertTrue(got == null || got.status() == 502, "a truncated response was accepted as complete: " + got);
        }
        Loopback.await("no memory is reserved for bodies", () -> lb.server.reservedForBodies() == 0 && idle());
        RECEIVED.remove(id);
    }

    private static ScriptedServer.Message readUnlessTruncated(Socket client) {
        try {
            return Loopback.answer(client);
        } catch (IOException | NumberFormatException cut) {
            return null; // the response is truncated
        }
    }

    private static boolean idle() {
        return lb.loop.submit(lb.core::idle).syncUninterruptibly().getNow();
    }

    private static byte[] bytes(int length, long seed) {
        byte[] bytes = new byte[length];
        new Random(seed).nextBytes(bytes);
        return bytes;
    }

    private static void ask(Socket client, String id, byte[] body, boolean chunked, int[] splits, int cutAt)
            throws IOException {
        ScriptedServer.write(
                client,
                "POST /api?obj=o HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id
                        + "\r\nX-Call-Class: order\r\nX-Budget-Ms: 9000\r\n" + framing(body, chunked));
        body(client, body, chunked, splits, cutAt);
    }

    private static void write(Socket socket, ScriptedResponse answer) throws IOException {
        ScriptedServer.write(socket, "HTTP/1.1 200 x\r\n" + framing(answer.body(), answer.chunked()));
        body(socket, answer.body(), answer.chunked(), answer.splits(), answer.cutAt());
        if (answer.cutAt() < Integer.MAX_VALUE) {
            socket.close();
        }
    }

    private static String framing(byte[] body, boolean chunked) {
        return chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "Content-Length: " + body.length + "\r\n\r\n";
    }

    private static void body(Socket socket, byte[] body, boolean chunked, int[] splits, int cutAt) throws IOException {
        int until = Math.min(body.length, cutAt);
        for (int at = 0, i = 0; at < until; i++) {
            int length = Math.min(until - at, 1 + Math.floorMod(splits[i % splits.length], 50_000));
            if (chunked) {
                ScriptedServer.write(socket, Integer.toHexString(length) + "\r\n");
            }
            socket.getOutputStream().write(body, at, length);
            if (chunked) {
                ScriptedServer.write(socket, "\r\n");
            }
            at += length;
        }
        if (chunked && cutAt == Integer.MAX_VALUE) {
            ScriptedServer.write(socket, "0\r\n\r\n");
        }
    }
}
