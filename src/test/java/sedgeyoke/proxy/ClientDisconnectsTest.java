package sedgeyoke.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import sedgeyoke.body.BodyLimits;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;

/**
 * Clients that disconnect while their requests wait, in each place where a request can wait: afterwards, nothing of
 * such a request may reach an upstream. Each test controls when the two events meet: either the policy sends only after
 * it knows that the clients have disconnected, or the event loop is blocked while they do.
 */
class ClientDisconnectsTest {
    private static final int CLIENTS = 210;
    private static final int EXCESSIVE_BYTES = 300_000;
    private static final int SHORT_REQUESTS = 20;
    private static final int LONG_BODY = 30_000;
    private static final int SOCKET_BUFFER_BYTES = 32 * 1024;
    private static final int STALL_MILLIS = 300;
    private static final int CHUNK_BYTES = 1_000;
    private ScriptedPolicy policy;

    /** How a client disconnects. */
    private enum Disconnect {
        FIN,
        RST,
        /** Closes only its sending side, which cannot be told from a full disconnect and is treated as one. */
        HALF,
        /** Before the client disconnects, it sends another request, part of one, or more than is buffered. */
        FIN_BEHIND_ANOTHER,
        RST_BEHIND_ANOTHER,
        FIN_BEHIND_A_PART,
        FIN_BEHIND_TOO_MUCH,
        RST_BEHIND_TOO_MUCH;

        private void disconnect(Socket socket, String id) throws IOException {
            String next = Loopback.request(id + "-next", "order", 20_000);
            if (name().endsWith("ANOTHER")) {
                ScriptedServer.write(socket, next);
            } else if (name().endsWith("PART")) {
                ScriptedServer.write(socket, next.substring(0, next.length() - 1));
            } else if (name().endsWith("MUCH")) {
                ScriptedServer.write(socket, excessiveInput(next));
            }
            if (name().startsWith("RST")) {
                socket.setSoLinger(true, 0);
            }
            if (this == HALF) {
                socket.shutdownOutput();
            } else {
                socket.close();
            }
        }

        /** Mostly long requests, because decoding as many bytes of short ones takes seconds with leak detection. */
        private static String excessiveInput(String shortRequest) {
            String longRequest = shortRequest.replace(
                    "Content-Length: 4\r\n\r\nwork",
                    "Content-Length: " + LONG_BODY + "\r\n\r\n" + "w".repeat(LONG_BODY));
            String shortOnes = shortRequest.repeat(SHORT_REQUESTS);
            int rest = EXCESSIVE_BYTES - shortOnes.length();
            return shortOnes + longRequest.repeat((rest + longRequest.length() - 1) / longRequest.length());
        }
    }

    private Loopback start(ScriptedServer upstream) throws Exception {
        return start(Loopback.setup().upstream("u", upstream.address()));
    }

    private Loopback start(Loopback.Setup setup) throws Exception {
        return setup.policy(actions -> {
                    policy = new ScriptedPolicy(actions);
                    return policy;
                })
                .start();
    }

    private List<Socket> clients(Loopback lb, Disconnect how) throws IOException {
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Socket socket = lb.connect();
            ScriptedServer.write(socket, Loopback.request(how + "-" + i, "order", 20_000));
            sockets.add(socket);
        }
        return sockets;
    }

    private static Set<String> ids(Disconnect how) {
        return IntStream.range(0, CLIENTS).mapToObj(i -> how + "-" + i).collect(Collectors.toSet());
    }

    private static void disconnect(List<Socket> sockets, Disconnect how) throws IOException {
        for (int i = 0; i < sockets.size(); i++) {
            how.disconnect(sockets.get(i), how + "-" + i);
        }
    }

    /** Sends a last request: it reaches the upstream after everything that was sent before it. */
    private void assertOnlyTheLastIsSent(Loopback lb, ScriptedServer upstream) throws Exception {
        policy.onRequest = (m, r) -> m.actions.send(r.id(), "u", 0);
        assertEquals(200, lb.ask("last", "order", 20_000).status());
        assertEquals(1, upstream.requests.size(), "only the last request reaches the upstream");
        Loopback.await(
                "no exchange is left",
                () -> lb.loop.submit(() -> lb.core.idle()).syncUninterruptibly().getNow());
        assertTrue(policy.ends.stream()
                .allMatch(e -> e.outcome().neverRan || e.request().equals("last")));
    }

    @ParameterizedTest
    @EnumSource(Disconnect.class)
    void nothingIsSentAfterADisconnectWhileTheRequestIsQueued(Disconnect how) throws Exception {
        try (ScriptedServer upstream = ScriptedServer.serving("x");
                Loopback lb = start(upstream)) {
            Set<String> queued = java.util.concurrent.ConcurrentHashMap.newKeySet();
            policy.onRequest = (m, r) -> queued.add(r.id());
            List<Socket> sockets = clients(lb, how);
            Loopback.await("all are queued", () -> queued.equals(ids(how)));
            disconnect(sockets, how);
            Loopback.await("all have disconnected", () -> new HashSet<>(policy.gone).equals(ids(how)));
            lb.loop
                    .submit(() -> queued.forEach(id -> policy.actions.send(id, "u", 0)))
                    .sync();
            assertOnlyTheLastIsSent(lb, upstream);
            if (how == Disconnect.HALF) {
                assertNull(Loopback.answer(sockets.get(0)), "the connection ends without a response");
            }
        }
    }

    /** The first attempt of each request is rejected, and the policy waits before it retries. */
    @ParameterizedTest
    @EnumSource(
            value = Disconnect.class,
            names = {"FIN", "RST", "FIN_BEHIND_ANOTHER"})
    void nothingIsSentAfterADisconnectWhileARetryWaits(Disconnect how) throws Exception {
        try (ScriptedServer full = new ScriptedServer(
                        (request, socket) -> ScriptedServer.reply(socket, 503, "", "X-Rejected: 1"));
                ScriptedServer upstream = ScriptedServer.serving("x");
                Loopback lb =
                        start(Loopback.setup().upstream("full", full.address()).upstream("u", upstream.address()))) {
            policy.onRequest = (m, r) -> m.actions.send(r.id(), "full", 0);
            List<Socket> sockets = clients(lb, how);
            Loopback.await("all were rejected", () -> policy.ends.size() == CLIENTS);
            disconnect(sockets, how);
            Loopback.await("all have disconnected", () -> new HashSet<>(policy.gone).equals(ids(how)));
            lb.loop
                    .submit(() -> ids(how).forEach(id -> policy.actions.send(id, "u", 0)))
                    .sync();
            assertOnlyTheLastIsSent(lb, upstream);
        }
    }

    /**
     * The event loop has begun to connect, and is paused until the clients have disconnected and the connections are
     * established.
     */
    @ParameterizedTest
    @EnumSource(
            value = Disconnect.class,
            names = {"FIN", "RST", "FIN_BEHIND_ANOTHER"})
    void nothingIsSentAfterADisconnectWhileConnectingToTheUpstream(Disconnect how) throws Exception {
        try (ScriptedServer upstream = ScriptedServer.serving("x");
                Loopback lb = start(upstream)) {
            Set<String> queued = java.util.concurrent.ConcurrentHashMap.newKeySet();
            policy.onRequest = (m, r) -> queued.add(r.id());
            List<Socket> sockets = clients(lb, how);
            Loopback.await("all are queued", () -> queued.equals(ids(how)));
            whileLoopIsPaused(
                    lb,
                    () -> queued.forEach(id -> policy.actions.send(id, "u", 0)),
                    () -> disconnect(sockets, how),
                    ClientDisconnectsTest::blockForWaitLimit);
            Loopback.await("all have disconnected", () -> new HashSet<>(policy.gone).equals(ids(how)));
            assertOnlyTheLastIsSent(lb, upstream);
        }
    }

    /**
     * When the loop resumes, it first reads requests that are directly followed by the disconnects of their clients.
     */
    @ParameterizedTest
    @EnumSource(
            value = Disconnect.class,
            names = {"FIN", "RST", "FIN_BEHIND_ANOTHER", "FIN_BEHIND_A_PART"})
    void nothingIsSentIfTheDisconnectIsReadWithTheRequest(Disconnect how) throws Exception {
        try (ScriptedServer upstream = ScriptedServer.serving("x");
                Loopback lb = start(upstream)) {
            policy.onRequest = (m, r) -> m.actions.send(r.id(), "u", 0);
            whileLoopIsPaused(lb, () -> {}, () -> disconnect(clients(lb, how), how), () -> {});
            Loopback.await("none is left", () -> lb.server.clients() == 0);
            assertOnlyTheLastIsSent(lb, upstream);
        }
    }

    /** A timer is due when the loop resumes, so the policy sends before anything that arrived meanwhile is read. */
    @ParameterizedTest
    @EnumSource(
            value = Disconnect.class,
            names = {"FIN", "RST", "FIN_BEHIND_ANOTHER"})
    void nothingIsSentAfterADisconnectWhileTheLoopIsBlocked(Disconnect how) throws Exception {
        try (ScriptedServer upstream = ScriptedServer.serving("x");
                Loopback lb = start(upstream)) {
            Set<String> queued = java.util.concurrent.ConcurrentHashMap.newKeySet();
            policy.onRequest = (m, r) -> queued.add(r.id());
            List<Socket> sockets = clients(lb, how);
            Loopback.await("all are queued", () -> queued.equals(ids(how)));
            whileLoopIsPaused(lb, () -> {}, () -> disconnect(sockets, how), () -> {
                blockForWaitLimit();
                queued.forEach(id -> policy.actions.send(id, "u", 0));
            });
            Loopback.await("all have disconnected", () -> new HashSet<>(policy.gone).equals(ids(how)));
            assertOnlyTheLastIsSent(lb, upstream);
        }
    }

    /**
     * Bodies that are too long to be buffered and that no attempt reads yet: the rest of each and the disconnect of its
     * client stay in the kernel until an attempt reads the body. That attempt never gets the last part of the body, so
     * the request is never executed.
     */
    @ParameterizedTest
    @EnumSource(
            value = Disconnect.class,
            names = {"FIN", "RST"})
    void nothingIsSentAfterADisconnectWhileALongBodyIsBuffered(Disconnect how) throws Exception {
        BodyLimits limits = new BodyLimits(
                true, 64 * 1024, 64L << 20, 0, 1_000_000, 30_000_000, 30_000_000, 1L << 40, 0, 0, 30_000_000);
        String body = "w".repeat(100_000);
        try (ScriptedServer upstream = ScriptedServer.serving("x");
                Loopback lb =
                        start(Loopback.setup().upstream("u", upstream.address()).bodies(limits))) {
            policy.streams = true;
            Set<String> queued = java.util.concurrent.ConcurrentHashMap.newKeySet();
            policy.onRequest = (m, r) -> queued.add(r.id());
            List<Socket> sockets = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                Socket socket = lb.connect();
                ScriptedServer.write(
                        socket,
                        Loopback.request(how + "-" + i, "order", 20_000)
                                .replace("Content-Length: 4\r\n\r\nwork", "Content-Length: 100000\r\n\r\n" + body));
                sockets.add(socket);
            }
            Loopback.await("all are queued", () -> queued.equals(ids(how)));
            disconnect(sockets, how);
            int sent = 0;
            for (String id : queued) { // one by one, as a burst of new connections is not what this tests
                int expected = ++sent;
                lb.loop.submit(() -> policy.actions.send(id, "u", 0)).sync();
                Loopback.await("it has disconnected", () -> policy.gone.size() >= expected);
            }
            assertEquals(ids(how), new HashSet<>(policy.gone));
            assertOnlyTheLastIsSent(lb, upstream);
            Loopback.await("no room for bodies is reserved", () -> lb.server.reservedForBodies() == 0);
        }
    }

    /**
     * Guards against long requests that run after their clients have left, because the close waits in the socket behind
     * the last part: a pass of the event loop ends after 16 reads, which the lengths reach with the last part.
     */
    @ParameterizedTest
    @ValueSource(ints = {540_000, 560_000, 580_000, 600_000, 620_000, 640_000, 660_000})
    void aLongRequestDoesNotRunIfItsClientLeftBeforeTheAttempt(int length) throws Exception {
        assertDoesNotRun("Content-Length: " + length, new byte[length], 0, new CountDownLatch(0));
    }

    /** The same, where the upstream takes no more just when the last part is received. */
    @ParameterizedTest
    @ValueSource(ints = {200, 300, 400, 500, 600, 700})
    void aPausedRequestDoesNotRunIfItsClientLeftBeforeTheAttempt(int chunks) throws Exception {
        String chunk = Integer.toHexString(CHUNK_BYTES) + "\r\n" + "w".repeat(CHUNK_BYTES) + "\r\n";
        byte[] body = (chunk.repeat(chunks) + "0\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
        assertDoesNotRun("Transfer-Encoding: chunked", body, SOCKET_BUFFER_BYTES, new CountDownLatch(1));
    }

    private void assertDoesNotRun(String framing, byte[] body, int socketBufferBytes, CountDownLatch go)
            throws Exception {
        BodyLimits limits = new BodyLimits(
                true,
                128 * 1024,
                64L << 20,
                0,
                1_000_000,
                30_000_000,
                30_000_000,
                1L << 40,
                socketBufferBytes,
                0,
                30_000_000);
        try (ScriptedServer upstream =
                        new ScriptedServer((request, socket) -> ScriptedServer.reply(socket, 200, "x"), go);
                Loopback lb =
                        start(Loopback.setup().upstream("u", upstream.address()).bodies(limits))) {
            policy.streams = true;
            Set<String> queued = java.util.concurrent.ConcurrentHashMap.newKeySet();
            policy.onRequest = (m, r) -> queued.add(r.id());
            Socket client = lb.connect();
            ScriptedServer.write(client, LongBodies.upload("left", "order", framing));
            client.getOutputStream().write(body);
            Loopback.await("it is queued", () -> queued.contains("left"));
            client.close();
            lb.loop.submit(() -> policy.actions.send("left", "u", 0)).sync();
            if (go.getCount() > 0) {
                Thread.sleep(STALL_MILLIS); // the upstream reads nothing yet, so that the upload is paused
                go.countDown();
            }
            Loopback.await("the client has left", () -> lb.server.clients() == 0);
            Loopback.await("no exchange is left", () -> lb.loop
                    .submit(() -> lb.core.idle())
                    .syncUninterruptibly()
                    .getNow());
            assertEquals(0, upstream.requests.size(), "requests that ran");
        }
    }

    /**
     * If a client pipelines too much, the requests received completely before that are answered, and then the
     * connection is closed in order.
     */
    @Test
    void aClientThatPipelinesTooMuchIsAnsweredAndItsConnectionIsClosed() throws Exception {
        try (ScriptedServer upstream = ScriptedServer.serving("x");
                Loopback lb = start(upstream)) {
            Set<String> queued = java.util.concurrent.ConcurrentHashMap.newKeySet();
            policy.onRequest = (m, r) -> queued.add(r.id());
            Socket socket = lb.connect();
            ScriptedServer.write(socket, Loopback.request("first", "order", 20_000));
            ScriptedServer.write(socket, Loopback.request("second", "order", 20_000));
            Loopback.await("queued", () -> queued.contains("first"));
            byte[] noise = new byte[EXCESSIVE_BYTES];
            ScriptedServer.write(
                    socket,
                    Loopback.request("third", "order", 20_000).replace("Content-Length: 4", "Content-Length: 65536"));
            socket.getOutputStream().write(noise);
            policy.onRequest = (m, r) -> m.actions.send(r.id(), "u", 0);
            lb.loop.submit(() -> policy.actions.send("first", "u", 0)).sync();
            java.io.InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            assertEquals(200, ScriptedServer.read(in).status());
            assertEquals(200, ScriptedServer.read(in).status());
            ScriptedServer.Message last = null;
            for (ScriptedServer.Message message = ScriptedServer.read(in);
                    message != null;
                    message = ScriptedServer.read(in)) {
                last = message; // the third, if it was complete before the limit was reached
            }
            assertTrue(last == null || "close".equals(last.headers().get("connection")));
            assertTrue(policy.ends.stream().allMatch(e -> e.outcome() == Outcome.OK));
        }
    }

    /** Pauses the loop for as long as a request may keep waiting after its client has disconnected. */
    private static void blockForWaitLimit() {
        for (long began = System.nanoTime(); System.nanoTime() - began < 300_000_000; ) {
            LockSupport.parkNanos(1_000_000);
        }
    }

    private interface Step {
        void run() throws Exception;
    }

    /**
     * Runs {@code before} on the loop, blocks the loop while {@code meanwhile} runs here, then runs {@code after} on
     * the loop.
     */
    private static void whileLoopIsPaused(Loopback lb, Runnable before, Step meanwhile, Runnable after)
            throws Exception {
        CountDownLatch loopPaused = new CountDownLatch(1);
        CountDownLatch resumeLoop = new CountDownLatch(1);
        io.netty.util.concurrent.Future<?> task = lb.loop.submit(() -> {
            before.run();
            loopPaused.countDown();
            resumeLoop.await();
            after.run();
            return null;
        });
        loopPaused.await();
        try {
            meanwhile.run();
        } finally {
            resumeLoop.countDown();
        }
        task.sync();
    }
}
