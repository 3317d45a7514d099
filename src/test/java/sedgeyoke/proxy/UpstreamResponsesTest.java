package sedgeyoke.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.policy.LoadBalancingPolicy.Request;

/** Invalid responses of upstreams, and valid ones that are followed by stray bytes. */
class UpstreamResponsesTest {
    private static final int LONG_MS = 60_000;
    private static final int CLIENTS = 6;

    private ScriptedPolicy policy;
    /** The number of requests that the policy was notified of. */
    private final AtomicInteger arrived = new AtomicInteger();

    /** Starts a balancer whose policy has one request in flight at a time and sends the next as soon as one ends. */
    private Loopback startWithOneRequestInFlight(ScriptedServer upstream) throws Exception {
        Queue<Request> waiting = new ArrayDeque<>();
        return Loopback.setup()
                .upstream("u", upstream.address())
                .policy(actions -> {
                    policy = new ScriptedPolicy(actions);
                    policy.onRequest = (m, r) -> {
                        arrived.incrementAndGet();
                        waiting.add(r);
                        if (waiting.size() == 1) {
                            m.actions.send(r.id(), "u", 0);
                        }
                    };
                    policy.onEnd = (m, end) -> {
                        waiting.poll();
                        if (end.outcome() != Outcome.OK) {
                            m.actions.fail(end.request());
                        }
                        if (!waiting.isEmpty()) {
                            m.actions.send(waiting.peek().id(), "u", 0);
                        }
                    };
                    return policy;
                })
                .start();
    }

    /** Stray bytes after a response must not be taken for the response to the next request. */
    @ParameterizedTest
    @ValueSource(strings = {"", "noise", "noise\r\n\r\n", "HTTP/1.1 200 OK\r\n"})
    void strayBytesAfterAResponseAreDiscarded(String noise) throws Exception {
        try (ScriptedServer upstream = new ScriptedServer((request, socket) -> {
                    Loopback.await("all requests have arrived", () -> arrived.get() == CLIENTS);
                    String id = request.headers().get("x-call-id");
                    String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + id.length() + "\r\n\r\n" + id;
                    ScriptedServer.write(socket, answer + (noise.isEmpty() ? answer : noise));
                });
                Loopback lb = startWithOneRequestInFlight(upstream)) {
            Socket[] clients = new Socket[CLIENTS];
            for (int i = 0; i < clients.length; i++) {
                clients[i] = lb.connect();
                ScriptedServer.write(clients[i], Loopback.request("id-" + i, "order", LONG_MS));
            }
            for (int i = 0; i < clients.length; i++) {
                assertEquals("id-" + i, Loopback.answer(clients[i]).body());
            }
        }
    }

    @Test
    void strayBytesOnAnIdleConnectionCloseIt() throws Exception {
        try (ScriptedServer upstream = ScriptedServer.serving("x");
                Loopback lb = startWithOneRequestInFlight(upstream)) {
            assertEquals(200, lb.ask("id-1", "order", LONG_MS).status());
            ScriptedServer.write(upstream.sockets.get(0), "n");
            Loopback.await("closed", () -> upstream.left.get() == 1);
            assertEquals(200, lb.ask("id-2", "order", LONG_MS).status());
        }
    }

    /** The connection stays open, so that the response must be recognised as invalid by its bytes. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "ICY/1.0 200 OK\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 2OO OK\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 99 OK\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 2000 OK\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 101 Up\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nContent-Length: one\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
                "HTTP/1.1 200 OK\r\nno header\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nX-Endless: ",
                "noise"
            })
    void anInvalidResponseFailsTheAttemptAtOnce(String answer) throws Exception {
        try (ScriptedServer upstream = new ScriptedServer((request, socket) -> ScriptedServer.write(socket, answer));
                Loopback lb = startWithOneRequestInFlight(upstream)) {
            assertEquals(502, lb.ask("id-1", "order", LONG_MS).status());
            assertEquals(Outcome.ERROR, policy.ends.get(0).outcome());
            Loopback.await("connection closed", () -> upstream.left.get() == 1);
        }
    }

    @Test
    void informationalResponsesAreSkipped() throws Exception {
        try (ScriptedServer upstream = new ScriptedServer((request, socket) -> ScriptedServer.write(
                        socket,
                        "HTTP/1.1 100 Continue\r\n\r\n"
                                + "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                                + "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"));
                Loopback lb = startWithOneRequestInFlight(upstream)) {
            assertEquals("x", lb.ask("id-1", "order", LONG_MS).body());
            assertEquals("x", lb.ask("id-2", "order", LONG_MS).body());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "[1]",
                "7",
                "null",
                "\"x\"",
                "{",
                "{\"cpu\":\"0.5\"}",
                "{\"cpu\":-3}",
                "{\"cpu\":{\"a\":1}}",
                "{\"cpu\":1e999}",
                "{\"cpu\":0.5,\"waiting\":1e12}",
                "{\"cpu\":null}",
                "noise",
                "{\"cpu\":0.5}\r\nX-Load-Report: {\"cpu\":0.1}"
            })
    void anInvalidLoadReportIsIgnored(String report) throws Exception {
        try (ScriptedServer upstream = ScriptedServer.serving("x", "X-Load-Report: " + report);
                Loopback lb = startWithOneRequestInFlight(upstream)) {
            assertEquals("x", lb.ask("id-1", "order", LONG_MS).body());
            Loopback.await("reported", () -> !policy.ends.isEmpty());
            assertNull(policy.ends.get(0).load());
        }
    }

    @Test
    void aValidLoadReportReachesThePolicy() throws Exception {
        try (ScriptedServer upstream = ScriptedServer.serving("x", "X-Load-Report: {\"cpu\":0.5,\"more\":[1]}");
                Loopback lb = startWithOneRequestInFlight(upstream)) {
            assertEquals("x", lb.ask("id-1", "order", LONG_MS).body());
            Loopback.await("reported", () -> !policy.ends.isEmpty());
            assertNotNull(policy.ends.get(0).load());
            assertEquals(0.5, policy.ends.get(0).load().utilisation());
        }
    }

    /** Guards against memory that stays reserved for the head of a response that no request asked for. */
    @Test
    void aStrayResponseLeavesNoMemoryReserved() throws Exception {
        java.util.concurrent.CountDownLatch strayed = new java.util.concurrent.CountDownLatch(1);
        try (ScriptedServer upstream = new ScriptedServer((request, socket) -> {
                    ScriptedServer.reply(socket, 200, "x");
                    Thread.sleep(50);
                    ScriptedServer.reply(socket, 200, "stray");
                    try {
                        socket.getInputStream().read(); // until the balancer closes the connection
                    } finally {
                        strayed.countDown();
                    }
                });
                Loopback lb = Loopback.setup().upstream("u", upstream.address()).start()) {
            assertEquals(200, lb.ask("a", "order", 1_000).status());
            Loopback.await("the connection is closed", () -> strayed.getCount() == 0);
            Loopback.await("all memory is released", () -> lb.budget(b -> b.reservedBytes()) == 0);
        }
    }
}
