package sedgeyoke.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sedgeyoke.proxy.LongBodies.MB;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sedgeyoke.body.BodyLimits;

/** Uploads to an upstream that reads them slowly, through a balancer in a process of its own. */
class SlowUploadReadersTest {
    private static final int BUDGET_MILLIS = 500;
    /** The platform counts a request as lost if its answer comes later than this after its time. */
    private static final int MAX_LATENESS_MILLIS = 500;

    private static final int READ_BYTES = 20_000;
    private static final int SLOW_READ_MILLIS = 20; // 1 MB/s
    private static final int FAST_READ_MILLIS = 0;
    private static final int CLIENT_TIMEOUT_MILLIS = 60_000;
    /** Half of the total, which read-ahead may take, is less than the rest of the request. */
    private static final BodyLimits SCARCE_MEMORY =
            new BodyLimits(true, 128 * 1024, MB, 0, 1_000_000, 600_000_000, 5_000_000, 1L << 30, 0, 12 * MB, 5_000_000);

    private static final Pattern CONTENT_LENGTH = Pattern.compile("(?i)content-length: (\\d+)");
    /** A rejection, or a failure if the whole request was handed to the kernel. */
    private static final Set<Integer> FINAL_STATUSES = Set.of(503, 502);

    @TempDir
    private Path folder;

    /**
     * Guards against answers that are late because the rest of the request lies in the kernel of its client, which has
     * written all of it, while the balancer waits for the upstream before it reads more.
     */
    @ParameterizedTest
    @CsvSource({"1, true", "4, true", "8, true", "20, true", "8, false"})
    void aLargeRequestIsAnsweredInTimeIfItsUpstreamReadsSlowly(int megabytes, boolean lengthDeclared) throws Exception {
        Result result = sendThroughProcess(SLOW_READ_MILLIS, megabytes * MB, lengthDeclared);
        assertTrue(FINAL_STATUSES.contains(result.status), "status " + result.status);
        assertTrue(
                result.millisAfterLastByte <= BUDGET_MILLIS + MAX_LATENESS_MILLIS,
                "answered " + result.millisAfterLastByte + " ms after its last byte");
    }

    /** Guards against the same where there is no memory to read the rest of the request. */
    @Test
    void aLargeRequestIsAnsweredInTimeIfThereIsNoMemoryToReadItsRest() throws Exception {
        try (SlowReader upstream = new SlowReader(SLOW_READ_MILLIS);
                Loopback balancer = Loopback.setup()
                        .upstream("u", upstream.address())
                        .bodies(SCARCE_MEMORY)
                        .start()) {
            Result result = send(balancer.address.getPort(), 8 * MB, true);
            assertEquals(503, result.status);
            assertTrue(
                    result.millisAfterLastByte <= BUDGET_MILLIS + MAX_LATENESS_MILLIS,
                    "answered " + result.millisAfterLastByte + " ms after its last byte");
        }
    }

    @Test
    void aLargeRequestIsServedIfItsUpstreamReadsFast() throws Exception {
        assertEquals(200, sendThroughProcess(FAST_READ_MILLIS, 20 * MB, true).status);
    }

    private record Result(int status, long millisAfterLastByte) {}

    private Result sendThroughProcess(int readMillis, int length, boolean lengthDeclared) throws Exception {
        try (SlowReader upstream = new SlowReader(readMillis);
                ListedUpstreams listed = new ListedUpstreams(Loopback.member("u", upstream.address(), "up"));
                BalancerProcess balancer = listed.start(folder)) {
            balancer.awaitHealthy();
            return send(balancer.port(), length, lengthDeclared);
        }
    }

    private static Result send(int port, int length, boolean lengthDeclared) throws Exception {
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
            client.setSoTimeout(CLIENT_TIMEOUT_MILLIS);
            AtomicLong written = new AtomicLong();
            Thread writer = new Thread(() -> write(client, length, lengthDeclared, written));
            writer.start();
            int status = Loopback.answer(client).status();
            long answered = System.nanoTime();
            writer.join();
            return new Result(status, TimeUnit.NANOSECONDS.toMillis(answered - written.get()));
        }
    }

    private static void write(Socket client, int length, boolean lengthDeclared, AtomicLong written) {
        String framing = lengthDeclared ? "Content-Length: " + length : "Transfer-Encoding: chunked";
        String head =
                LongBodies.upload("a", "order", framing).replace("X-Budget-Ms: 5000", "X-Budget-Ms: " + BUDGET_MILLIS);
        try {
            ScriptedServer.write(client, head);
            byte[] piece = new byte[READ_BYTES];
            for (int at = 0; at < length; at += piece.length) {
                int size = Math.min(piece.length, length - at);
                ScriptedServer.write(client, lengthDeclared ? "" : Integer.toHexString(size) + "\r\n");
                client.getOutputStream().write(piece, 0, size);
                ScriptedServer.write(client, lengthDeclared ? "" : "\r\n");
            }
            ScriptedServer.write(client, lengthDeclared ? "" : "0\r\n\r\n");
        } catch (IOException e) {
            return; // the balancer has answered and closed the connection
        } finally {
            written.set(System.nanoTime());
        }
    }

    /** Reads a request with a pause after each read, and answers it. */
    private static final class SlowReader extends LoopbackServer {
        private final int readMillis;

        SlowReader(int readMillis) throws IOException {
            this.readMillis = readMillis;
            start();
        }

        @Override
        void serve(Socket socket) {
            try (socket) {
                InputStream in = socket.getInputStream();
                long left = lengthIn(readHead(in));
                while (left > 0) {
                    int read = in.read(new byte[READ_BYTES]);
                    if (read < 0) {
                        return;
                    }
                    left -= read;
                    Thread.sleep(readMillis);
                }
                ScriptedServer.reply(socket, 200, "done");
            } catch (IOException | InterruptedException e) {
                return; // closed by the balancer, or by the end of the test
            }
        }

        /** The declared length; of a chunked body, which no test reads to its end, more than any. */
        private static long lengthIn(String head) {
            Matcher declared = CONTENT_LENGTH.matcher(head);
            return declared.find() ? Long.parseLong(declared.group(1)) : Long.MAX_VALUE;
        }

        private static String readHead(InputStream in) throws IOException {
            StringBuilder head = new StringBuilder();
            while (!head.toString().endsWith("\r\n\r\n")) {
                head.append(new String(in.readNBytes(1), StandardCharsets.ISO_8859_1));
            }
            return head.toString();
        }
    }
}
