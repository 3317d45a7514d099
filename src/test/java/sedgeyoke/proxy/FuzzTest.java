package sedgeyoke.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import sedgeyoke.body.BodyLimits;

/**
 * Sends randomly mutated requests and responses. No handler may throw an exception, no request may stay open, and each
 * client must get a response or see its connection end. {@code -Dfuzz.inputs=N} sets the number of inputs for each
 * direction; the default takes some seconds.
 */
class FuzzTest {
    private static final int INPUTS = Integer.getInteger("fuzz.inputs", 800);
    private static final long SEED = Long.getLong("fuzz.seed", 20_261_201);
    private static final String HEAD =
            "POST /api?obj=o HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Call-Class: order\r\n" + "X-Budget-Ms: 400\r\n";
    private static final List<String> REQUESTS = List.of(
            HEAD + "Content-Length: 4\r\n\r\nwork",
            HEAD + "Transfer-Encoding: chunked\r\n\r\n4\r\nwork\r\n0\r\n\r\n",
            HEAD + "Transfer-Encoding: chunked\r\n\r\n4;a=b\r\nwork\r\n0\r\nX-T: 1\r\nContent-Length: 9\r\n\r\n",
            HEAD + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\nwork",
            HEAD + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nwork",
            HEAD + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            HEAD + "Content-Length : 4\r\n\r\nwork",
            HEAD + "Content-Length: 4\n\nwork",
            HEAD + "Content-Length: 60000\r\n\r\n" + "x".repeat(60_000),
            HEAD + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nwork\r\n0\r\n\r\n",
            "GET /api?obj=o HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Call-Class: read\r\nX-Budget-Ms: 400\r\n\r\n",
            "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
    private static final List<String> RESPONSES = List.of(
            "HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nok",
            "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-T: 1\r\n\r\n",
            "HTTP/1.1 100 x\r\n\r\nHTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nok",
            "HTTP/1.1 503 x\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 200 x\r\nX-Load-Report: {\"waiting\":1,\"cpu\":0.5,\"avg_ms\":3}\r\nContent-Length: 2\r\n\r\nok",
            "HTTP/1.1 200 x\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "HTTP/1.1 200 x\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
            "HTTP/1.1 200 x\r\nContent-Length: 60000\r\n\r\n" + "y".repeat(60_000),
            "HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 x\r\nContent-Length: 3\r\n\r\nbad");
    private static final String[] FRAGMENTS = {
        "\r\n",
        "\n",
        "\r",
        ":",
        " ",
        "\t",
        "0",
        "-1",
        "ffffffffffffffff",
        "\0",
        "Content-Length: 7\r\n",
        "Transfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "HTTP/1.1",
        "HTTP/2.0",
        "99999999999999999999",
        "\u00ff",
        ";",
        ",",
        "0\r\n\r\n",
        "Connection: close\r\n"
    };
    private static final BodyLimits LIMITS =
            new BodyLimits(true, 32 * 1024, 4L << 20, 0, 1_000_000, 2_000_000, 300_000, 1L << 30, 0, 0, 300_000);
    private static final List<String> FAULT_TEXTS = List.of(
            "request not handled",
            "the policy threw an exception",
            "answered without a decision of the policy",
            "NullPointer",
            "IllegalState",
            "IllegalReference",
            "ClassCast",
            "OutOfBounds");
    private static final ByteArrayOutputStream LOGGED = new ByteArrayOutputStream();
    private static PrintStream originalErr;
    private static volatile byte[] answer =
            "HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.ISO_8859_1);
    private static volatile boolean closesConnection;
    private static ScriptedServer node;
    private static Loopback lb;
    private static int number;

    @BeforeAll
    static void start() throws Exception {
        originalErr = System.err;
        System.setErr(new PrintStream(LOGGED, true, StandardCharsets.UTF_8));
        node = new ScriptedServer((request, socket) -> {
            socket.getOutputStream().write(answer);
            if (closesConnection) {
                socket.close();
            }
        });
        lb = Loopback.setup().upstream("u", node.address()).bodies(LIMITS).start();
    }

    @AfterAll
    static void end() throws Exception {
        Loopback.await(
                "no request is open and no memory is reserved for bodies",
                () -> lb.server.reservedForBodies() == 0 && idle());
        lb.close();
        node.close();
        System.setErr(originalErr);
        assertTrue(LeakRecorder.isInstalled());
        LeakRecorder.assertNone();
    }

    private static boolean idle() {
        return lb.loop.submit(lb.core::idle).syncUninterruptibly().getNow();
    }

    private static void assertNoFault(byte[] input) {
        String logged = LOGGED.toString(StandardCharsets.UTF_8);
        LOGGED.reset();
        FAULT_TEXTS.forEach(f -> assertFalse(
                logged.contains(f), () -> logged + "\nafter " + new String(input, StandardCharsets.ISO_8859_1)));
    }

    /**
     * Applies up to four mutations to a message: characters replaced, removed or repeated, protocol fragments inserted,
     * or the end cut off.
     */
    private static byte[] mutated(String seed, SplittableRandom random) {
        StringBuilder text = new StringBuilder(seed);
        for (int i = random.nextInt(5); i > 0 && text.length() > 1; i--) {
            int at = random.nextInt(Math.min(text.length(), 400));
            switch (random.nextInt(5)) {
                case 0 -> text.setCharAt(at, (char) random.nextInt(256));
                case 1 -> text.delete(at, Math.min(text.length(), at + 1 + random.nextInt(20)));
                case 2 -> text.insert(at, FRAGMENTS[random.nextInt(FRAGMENTS.length)]);
                case 3 -> text.insert(at, text.substring(at, Math.min(text.length(), at + 1 + random.nextInt(60))));
                default -> text.setLength(at + 1);
            }
        }
        return text.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    @Test
    void mutatedRequestsOfClientsCauseNoFault() throws Exception {
        SplittableRandom random = new SplittableRandom(SEED);
        for (int i = 0; i < INPUTS; i++) {
            String seed = REQUESTS.get(random.nextInt(REQUESTS.size())).replace("%s", "f" + number++);
            byte[] input = mutated(seed, random);
            try (Socket client = lb.connect()) {
                int first = random.nextInt(input.length + 1);
                client.getOutputStream().write(input, 0, first);
                client.getOutputStream().write(input, first, input.length - first);
                client.shutdownOutput();
                assertEnds(client, input);
            } catch (IOException closed) {
                continue; // during the write; that is a valid end, too
            } finally {
                assertNoFault(input);
            }
        }
        Loopback.await("no request stays open", FuzzTest::idle);
    }

    private static void assertEnds(Socket client, byte[] input) throws IOException {
        try {
            client.getInputStream().readAllBytes();
        } catch (SocketTimeoutException e) {
            throw new AssertionError(
                    "neither a response nor the end of the connection after: "
                            + new String(input, StandardCharsets.ISO_8859_1),
                    e);
        }
    }

    @Test
    void mutatedResponsesOfUpstreamsCauseNoFault() throws Exception {
        SplittableRandom random = new SplittableRandom(SEED + 1);
        byte[] before = answer;
        try {
            for (int i = 0; i < INPUTS; i++) {
                answer = mutated(RESPONSES.get(random.nextInt(RESPONSES.size())), random);
                closesConnection = random.nextInt(4) > 0;
                try (Socket client = lb.connect()) {
                    ScriptedServer.write(client, Loopback.request("g" + number++, "order", 60));
                    String head = new String(client.getInputStream().readNBytes(12), StandardCharsets.ISO_8859_1);
                    assertTrue(
                            List.of("HTTP/1.1 200", "HTTP/1.1 502", "HTTP/1.1 503")
                                    .contains(head),
                            () -> head + " to " + new String(answer, StandardCharsets.ISO_8859_1));
                }
                assertNoFault(answer);
            }
        } finally {
            answer = before;
            closesConnection = false;
        }
        Loopback.await("no request stays open", FuzzTest::idle);
    }

    /** Checks the mutations: without any, the other tests would find nothing. */
    @Test
    void mostInputsAreMutated() {
        SplittableRandom random = new SplittableRandom(1);
        long same = 0;
        for (int i = 0; i < 100; i++) {
            same += Arrays.equals(
                            mutated(REQUESTS.get(0), random), REQUESTS.get(0).getBytes(StandardCharsets.ISO_8859_1))
                    ? 1
                    : 0;
        }
        assertTrue(same < 40, same + " of 100 unchanged");
        assertEquals(12, REQUESTS.size());
    }
}
