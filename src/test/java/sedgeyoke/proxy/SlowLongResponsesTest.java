package sedgeyoke.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Long responses that an upstream writes slowly, through a balancer in a process of its own. */
class SlowLongResponsesTest {
    private static final int BUDGET_MILLIS = 500;
    private static final int SHORT_BUDGET_MILLIS = 300;
    private static final String STATUS_LINE = "HTTP/1.1 200 x\r\n";
    private static final int SERVICE_MILLIS = 100;
    private static final int HEAD_PAUSE_MILLIS = 50;
    /** With {@link #SHORT_BUDGET_MILLIS}, less time is left than a response may be buffered for. */
    private static final int LATE_SERVICE_MILLIS = 200;

    private static final int CLIENT_TIMEOUT_MILLIS = 20_000;

    @TempDir
    private Path folder;

    /** How the end of a response is marked. */
    private enum Framing {
        CHUNKED("Transfer-Encoding: chunked"),
        UNTIL_CLOSE("Connection: close"),
        DECLARED("Content-Length: ");

        private final String field;

        Framing(String field) {
            this.field = field;
        }
    }

    /**
     * A response in pieces.
     *
     * @param serviceMillis the time until its first byte
     * @param headPauseMillis the pause within its head
     * @param bytes the length of its body
     * @param firstBytes the length of the first piece of the body
     * @param pieceBytes the length of the others
     * @param pauseMillis the pause after each piece
     */
    private record Plan(
            Framing framing,
            int serviceMillis,
            int headPauseMillis,
            int bytes,
            int firstBytes,
            int pieceBytes,
            int pauseMillis) {
        Plan(Framing framing, int serviceMillis, int bytes, int firstBytes, int pieceBytes, int pauseMillis) {
            this(framing, serviceMillis, 0, bytes, firstBytes, pieceBytes, pauseMillis);
        }

        byte[] content() {
            return LongBodies.bytes(bytes);
        }

        String headFields() {
            return framing.field + (framing == Framing.DECLARED ? bytes : "") + "\r\n\r\n";
        }

        void write(Socket socket) throws IOException, InterruptedException {
            Thread.sleep(serviceMillis);
            byte[] content = content();
            OutputStream out = socket.getOutputStream();
            out.write(STATUS_LINE.getBytes(StandardCharsets.ISO_8859_1));
            Thread.sleep(headPauseMillis);
            out.write(headFields().getBytes(StandardCharsets.ISO_8859_1));
            for (int at = 0, length = firstBytes; at < bytes; at += length, length = pieceBytes) {
                if (at > 0) {
                    Thread.sleep(pauseMillis);
                }
                writePiece(socket, content, at, Math.min(length, bytes - at));
            }
            if (framing == Framing.CHUNKED) {
                ScriptedServer.write(socket, "0\r\n\r\n");
            } else if (framing == Framing.UNTIL_CLOSE) {
                socket.close();
            }
        }

        private void writePiece(Socket socket, byte[] content, int at, int length) throws IOException {
            boolean chunked = framing == Framing.CHUNKED;
            ScriptedServer.write(socket, chunked ? Integer.toHexString(length) + "\r\n" : "");
            socket.getOutputStream().write(content, at, length);
            ScriptedServer.write(socket, chunked ? "\r\n" : "");
        }
    }

    /** Guards against taking a response of unknown length for a short one when the time of its request is over. */
    @Test
    void longResponsesOfUnknownLengthAreNotCutOffAtTheTimeOfTheirRequest() throws Exception {
        Map<String, Plan> plans = new LinkedHashMap<>();
        for (Framing framing : List.of(Framing.CHUNKED, Framing.UNTIL_CLOSE)) {
            plans.put(framing + "-steady", new Plan(framing, SERVICE_MILLIS, 176_000, 2_500, 2_500, 20));
            plans.put(framing + "-slower", new Plan(framing, SERVICE_MILLIS, 120_000, 2_000, 2_000, 50));
            plans.put(framing + "-large-lumps", new Plan(framing, SERVICE_MILLIS, 160_000, 40_000, 40_000, 740));
            plans.put(framing + "-small-lumps", new Plan(framing, SERVICE_MILLIS, 100_000, 10_000, 10_000, 1_100));
        }
        assertAllComplete(plans, BUDGET_MILLIS);
    }

    /** Guards against failing a long response that has begun in time and pauses before it is streamed. */
    @Test
    void longResponsesThatPauseBeforeTheTimeOfTheirRequestAreForwarded() throws Exception {
        Map<String, Plan> plans = new LinkedHashMap<>();
        for (Framing framing : Framing.values()) {
            plans.put(framing + "-pause", new Plan(framing, LATE_SERVICE_MILLIS, 150_000, 10_000, 140_000, 1_500));
        }
        assertAllComplete(plans, SHORT_BUDGET_MILLIS);
    }

    /** Guards against buffering a response until its time is over because its head has come in two parts. */
    @Test
    void longResponsesWhoseHeadComesInPiecesAreForwarded() throws Exception {
        Map<String, Plan> plans = new LinkedHashMap<>();
        for (Framing framing : Framing.values()) {
            plans.put(
                    framing + "-head", new Plan(framing, SERVICE_MILLIS, HEAD_PAUSE_MILLIS, 120_000, 2_000, 2_000, 50));
        }
        assertAllComplete(plans, BUDGET_MILLIS);
    }

    /** Guards against taking an upstream that pauses for one that hangs, and its client for one that does not read. */
    @Test
    void longResponsesThatPauseForSecondsAreForwarded() throws Exception {
        Map<String, Plan> plans = new LinkedHashMap<>();
        for (Framing framing : Framing.values()) {
            plans.put(framing + "-long-pause", new Plan(framing, SERVICE_MILLIS, 150_000, 80_000, 70_000, 6_000));
        }
        assertAllComplete(plans, BUDGET_MILLIS);
    }

    /** Guards against responses that are cut off without a line that says which limit did it. */
    @Test
    void theLogNamesTheRequestAndTheLimitThatEndedItsResponse() throws Exception {
        Plan trickle = new Plan(Framing.CHUNKED, SERVICE_MILLIS, 600, 30, 30, 100);
        try (Upstreams upstreams = new Upstreams(1, (request, socket) -> trickle.write(socket));
                BalancerProcess balancer = upstreams.listed.start(folder)) {
            balancer.awaitHealthy();
            String end = fetch(balancer.port(), "trickle", trickle, BUDGET_MILLIS);
            assertTrue(!end.equals("complete"), end);
            Loopback.await(
                    "the limit is logged",
                    () -> balancer.hasLogged(
                            "request trickle attempt 0 at u0 stopped as TIMEOUT: deadline of the request"));
        }
    }

    private void assertAllComplete(Map<String, Plan> plans, int budgetMillis) throws Exception {
        ExecutorService clients = Executors.newCachedThreadPool();
        try (Upstreams upstreams = new Upstreams(plans.size(), (request, socket) -> plans.get(
                                request.headers().get("x-call-id"))
                        .write(socket));
                BalancerProcess balancer = upstreams.listed.start(folder)) {
            balancer.awaitHealthy();
            Map<String, CompletableFuture<String>> results = new TreeMap<>();
            plans.forEach((id, plan) -> results.put(
                    id, CompletableFuture.supplyAsync(() -> fetch(balancer.port(), id, plan, budgetMillis), clients)));
            Map<String, String> expected = new TreeMap<>();
            plans.keySet().forEach(id -> expected.put(id, "complete"));
            Map<String, String> seen = new TreeMap<>();
            results.forEach((id, result) -> seen.put(id, result.join()));
            assertEquals(expected, seen, balancer.output());
        } finally {
            clients.shutdownNow();
        }
    }

    private static String fetch(int port, String id, Plan plan, int budgetMillis) {
        long start = System.nanoTime();
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
            client.setSoTimeout(CLIENT_TIMEOUT_MILLIS);
            ScriptedServer.Message got = Loopback.ask(client, Loopback.request(id, "update", budgetMillis));
            if (got != null && LongBodies.digest(plan.content()).equals(LongBodies.digest(got.raw()))) {
                return "complete";
            }
            return (got == null ? "cut off" : got.line()) + " after " + (System.nanoTime() - start) / 1_000_000 + " ms";
        } catch (Exception e) {
            return e.getMessage() + " after " + (System.nanoTime() - start) / 1_000_000 + " ms";
        }
    }

    /** So many upstreams that no request is queued, and their list. */
    private static final class Upstreams implements AutoCloseable {
        private final List<ScriptedServer> servers = new ArrayList<>();
        private final ListedUpstreams listed;

        Upstreams(int count, ScriptedServer.Script script) throws IOException {
            List<String> members = new ArrayList<>();
            for (int number = 0; number < count; number++) {
                ScriptedServer server = new ScriptedServer(script);
                servers.add(server);
                members.add(Loopback.member("u" + number, server.address(), "up"));
            }
            listed = new ListedUpstreams(members.toArray(new String[0]));
        }

        @Override
        public void close() {
            servers.forEach(ScriptedServer::close);
            listed.close();
        }
    }
}
