package sedgeyoke.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sedgeyoke.body.BodyLimits;
import sedgeyoke.drill.ProgramProcess;

/** Requests that wait on their connection for the response to the previous request. */
class PipelinedRequestsTest extends RaceConditionsTestBase {
    private static final int REQUESTS_AT_ONCE = 600;
    private static final int SENDERS = 60;
    private static final int USUAL_REQUESTS = 20;
    private static final int BUDGET_MILLIS = 1_500;
    /** Less than {@link #SENDERS} times {@link #REQUESTS_AT_ONCE} decoded requests take. */
    private static final List<String> SMALL_HEAP = List.of("-Xmx32m", "-XX:+UseSerialGC");

    private static final int FIELDS = 1_500;
    /** A field has at least an entry, a name and a value. */
    private static final long LEAST_HEAD_BYTES = FIELDS * 100L;

    private static final int CLIENTS_WITH_LONG_HEADS = 8;
    private static final long SMALL_BUDGET_BYTES = 1L << 20;
    private static final BodyLimits SMALL_BUDGET = new BodyLimits(
            true, 64 * 1024, SMALL_BUDGET_BYTES, 0, 1_000_000, 30_000_000, 30_000_000, 1L << 30, 0, 0, 30_000_000);

    @TempDir
    private Path folder;

    /** A connection with a pipelined request is not idle, however late the event loop processes that request. */
    @Test
    void aConnectionWithAPipelinedRequestIsNotClosedAsIdle() throws Exception {
        try (Loopback lb = start(Loopback.setup())) {
            Set<String> queued = ConcurrentHashMap.newKeySet();
            policy.onRequest = (m, r) -> queued.add(r.id());
            Socket client = lb.connect();
            ScriptedServer.write(
                    client, Loopback.request("id-1", "order", 20_000) + Loopback.request("id-2", "order", 20_000));
            Loopback.await("queued", () -> queued.contains("id-1"));
            policy.onRequest = (m, r) -> m.actions.reject(r.id(), 0);
            lb.loop
                    .submit(() -> {
                        lb.loop.schedule(() -> policy.actions.reject("id-1", 0), 0, TimeUnit.MILLISECONDS);
                        lb.loop.schedule(
                                () -> pauseUntil(System.nanoTime() + 2_100 * NANOS_PER_MILLI),
                                0,
                                TimeUnit.MILLISECONDS);
                        pauseUntil(System.nanoTime()
                                + 60 * NANOS_PER_MILLI); // until these and the check of all connections are due
                    })
                    .sync();
            java.io.InputStream in = new java.io.BufferedInputStream(client.getInputStream());
            assertEquals(503, ScriptedServer.read(in).status());
            ScriptedServer.Message second = ScriptedServer.read(in);
            assertEquals(503, second == null ? 0 : second.status());
        }
    }

    /**
     * A pipelined request waits for the previous response; its upstream gets the time budget that is left after that.
     */
    @Test
    void theTimeThatAPipelinedRequestWaitsIsDeductedFromItsBudget() throws Exception {
        AtomicInteger budgetMillis = new AtomicInteger();
        try (ScriptedServer upstream = new ScriptedServer((request, socket) -> {
                    if (request.headers().get("x-call-id").equals("first")) {
                        pauseUntil(System.nanoTime() + 600 * NANOS_PER_MILLI);
                    } else {
                        budgetMillis.set(Integer.parseInt(request.headers().get("x-budget-ms")));
                    }
                    ScriptedServer.reply(socket, 200, "x");
                });
                Loopback lb = Loopback.setup().upstream("u", upstream.address()).start()) {
            Socket client = lb.connect();
            ScriptedServer.write(
                    client, Loopback.request("first", "order", 1_500) + Loopback.request("second", "order", 1_500));
            java.io.InputStream in = new java.io.BufferedInputStream(client.getInputStream());
            assertEquals(200, ScriptedServer.read(in).status());
            assertEquals(200, ScriptedServer.read(in).status());
            assertTrue(
                    budgetMillis.get() <= 1_500 - 600 + 150,
                    "forwarded a budget of " + budgetMillis.get() + " ms, 900 were left");
        }
    }

    /**
     * Guards against pipelined requests that take many times as much memory as is counted for them: decoded, a short
     * one takes over a kilobyte.
     */
    @Test
    void pipelinedRequestsAreCountedWithTheMemoryThatTheyTake() throws Exception {
        try (Loopback lb = start(Loopback.setup())) {
            Set<String> queued = ConcurrentHashMap.newKeySet();
            policy.onRequest = (m, r) -> queued.add(r.id());
            Socket client = lb.connect();
            ScriptedServer.write(client, Loopback.request("first", "order", 20_000));
            Loopback.await("queued", () -> queued.contains("first"));
            String pipelined = pipelinedRequests("p");
            ScriptedServer.write(client, pipelined);
            Loopback.await("all is counted", () -> lb.budget(b -> b.reservedBytes()) >= pipelined.length());
            long reserved = lb.budget(b -> b.reservedBytes());
            assertTrue(reserved <= 2L * pipelined.length(), "reserved " + reserved);
            policy.onRequest = (m, r) -> m.actions.reject(r.id(), 0);
            lb.loop.submit(() -> policy.actions.reject("first", 0)).sync();
            java.io.InputStream in = new java.io.BufferedInputStream(client.getInputStream());
            for (int i = 0; i <= REQUESTS_AT_ONCE; i++) {
                assertEquals(503, ScriptedServer.read(in).status());
            }
            Loopback.await("all memory is released", () -> lb.budget(b -> b.reservedBytes()) == 0);
        }
    }

    /** Guards against a heap that is filled by clients that send hundreds of requests at once. */
    @Test
    void otherClientsAreAnsweredWhileManySendHundredsOfRequestsAtOnce() throws Exception {
        try (ScriptedServer upstream = ScriptedServer.serving("x");
                ScriptedServer discovery = new ScriptedServer((request, socket) -> {
                    if (!request.line().contains("from=")) {
                        ScriptedServer.reply(
                                socket, 200, Loopback.list(1, true, Loopback.member("u", upstream.address(), "up")));
                    }
                });
                BalancerProcess balancer = startWithSmallHeap(upstream, discovery)) {
            balancer.awaitHealthy();
            List<Socket> senders = new ArrayList<>();
            for (int i = 0; i < SENDERS; i++) {
                Socket sender = new Socket(InetAddress.getLoopbackAddress(), balancer.port());
                senders.add(sender);
                ScriptedServer.write(sender, pipelinedRequests("s" + i));
            }
            for (int i = 0; i < USUAL_REQUESTS; i++) {
                try (Socket client = new Socket(InetAddress.getLoopbackAddress(), balancer.port())) {
                    client.setSoTimeout(2 * BUDGET_MILLIS);
                    long start = System.nanoTime();
                    ScriptedServer.Message answer =
                            Loopback.ask(client, Loopback.request("usual" + i, "order", BUDGET_MILLIS));
                    long millis = (System.nanoTime() - start) / NANOS_PER_MILLI;
                    assertTrue(
                            answer != null && millis <= BUDGET_MILLIS + 500,
                            "answered after " + millis + " ms: " + answer);
                }
            }
            assertTrue(!balancer.hasLogged("OutOfMemoryError"), balancer.output());
            for (Socket sender : senders) {
                sender.close();
            }
        }
    }

    private BalancerProcess startWithSmallHeap(LoopbackServer upstream, ScriptedServer discovery) throws Exception {
        String known = Loopback.list(1, true, Loopback.member("u", upstream.address(), "up"));
        byte[] config = Loopback.configText(Loopback.SETTINGS, discovery.address(), 1_024, known);
        return BalancerProcess.startWith(SMALL_HEAP, folder, ProgramProcess.freePort(), config);
    }

    private static String pipelinedRequests(String prefix) {
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < REQUESTS_AT_ONCE; i++) {
            requests.append("GET /api HTTP/1.1\r\nHost: b\r\nX-Call-Id: ")
                    .append(prefix)
                    .append('-')
                    .append(i)
                    .append("\r\nX-Call-Class: read\r\nX-Budget-Ms: 20000\r\n\r\n");
        }
        return requests.toString();
    }

    /** Guards against heads of many tiny fields, which take fifty times as much memory as their bytes. */
    @Test
    void headerFieldsAreCountedWithTheMemoryThatTheyTake() throws Exception {
        String manyFields = "GET /api HTTP/1.1\r\n" + "a:b\r\n".repeat(FIELDS);
        try (ScriptedServer upstream = ScriptedServer.serving("x");
                Loopback lb = Loopback.setup()
                        .upstream("u", upstream.address())
                        .bodies(SMALL_BUDGET)
                        .start()) {
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS_WITH_LONG_HEADS; i++) {
                clients.add(lb.connect());
                ScriptedServer.write(clients.get(i), manyFields);
            }
            Loopback.await("memory is counted", () -> lb.budget(b -> b.reservedBytes()) >= LEAST_HEAD_BYTES);
            ScriptedServer.Message last = Loopback.answer(clients.get(CLIENTS_WITH_LONG_HEADS - 1));
            assertEquals(431, last.status());
            assertEquals(200, lb.ask("usual", "order", BUDGET_MILLIS).status());
            for (Socket client : clients) {
                client.close();
            }
            Loopback.await("all memory is released", () -> lb.budget(b -> b.reservedBytes()) == 0);
        }
    }
}
