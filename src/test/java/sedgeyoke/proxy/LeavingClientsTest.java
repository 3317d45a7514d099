package sedgeyoke.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
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
import sedgeyoke.body.BodyLimits;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;

/**
 * Clients that leave while their requests wait, in each place where one may wait: whatever the module decides after
 * that, nothing of it reaches an upstream. Where the crossing lies is set by the test: the module sends only once it
 * knows that the clients have left, or the loop is blocked while they leave.
 */
class LeavingClientsTest {
    private static final int CLIENTS = 210;
    private static final int FAR_TOO_MUCH = 300_000;
    private ScriptedPolicy module;

    /** How a client leaves. */
    private enum Leaving {
        FIN,
        RST,
        /** It ends its sending side only: the end of one that has gone looks the same, and is taken for it. */
        HALF,
        /** Behind its request it has sent another one, a part of one, and more than anybody keeps. */
        FIN_BEHIND_ANOTHER,
        RST_BEHIND_ANOTHER,
        FIN_BEHIND_A_PART,
        FIN_BEHIND_TOO_MUCH,
        RST_BEHIND_TOO_MUCH;

        private void leave(Socket socket, String id) throws IOException {
            String next = Loopback.request(id + "-next", "order", 20_000);
            if (name().endsWith("ANOTHER")) {
                ScriptedServer.write(socket, next);
            } else if (name().endsWith("PART")) {
                ScriptedServer.write(socket, next.substring(0, next.length() - 1));
            } else if (name().endsWith("MUCH")) {
                ScriptedServer.write(socket, next.repeat(FAR_TOO_MUCH / next.length()));
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
    }

    private Loopback start(ScriptedServer up) throws Exception {
        return start(Loopback.setup().upstream("u", up.address()));
    }

    private Loopback start(Loopback.Setup setup) throws Exception {
        return setup.module(actions -> {
                    module = new ScriptedPolicy(actions);
                    return module;
                })
                .start();
    }

    private List<Socket> clients(Loopback lb, Leaving how) throws IOException {
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Socket socket = lb.connect();
            ScriptedServer.write(socket, Loopback.request(how + "-" + i, "order", 20_000));
            sockets.add(socket);
        }
        return sockets;
    }

    private static Set<String> ids(Leaving how) {
        return IntStream.range(0, CLIENTS).mapToObj(i -> how + "-" + i).collect(Collectors.toSet());
    }

    private static void leave(List<Socket> sockets, Leaving how) throws IOException {
        for (int i = 0; i < sockets.size(); i++) {
            how.leave(sockets.get(i), how + "-" + i);
        }
    }

    /** A request that is served comes to the upstream behind all that was to come to it before. */
    private void assertOnlyTheLastIsSent(Loopback lb, ScriptedServer up) throws Exception {
        module.onRequest = (m, r) -> m.actions.send(r.id(), "u", 0);
        assertEquals(200, lb.ask("last", "order", 20_000).status());
        assertEquals(1, up.requests.size(), "what came to the upstream, the last one among it");
        Loopback.await(
                "nothing is left of them",
                () -> lb.loop.submit(() -> lb.node.idle()).syncUninterruptibly().getNow());
        assertTrue(module.ends.stream()
                .allMatch(e -> e.outcome().neverRan || e.request().equals("last")));
    }

    @ParameterizedTest
    @EnumSource(Leaving.class)
    void whileTheRequestIsQueued(Leaving how) throws Exception {
        try (ScriptedServer up = ScriptedServer.serving("x");
                Loopback lb = start(up)) {
            Set<String> queued = java.util.concurrent.ConcurrentHashMap.newKeySet();
            module.onRequest = (m, r) -> queued.add(r.id());
            List<Socket> sockets = clients(lb, how);
            Loopback.await("all are queued", () -> queued.equals(ids(how)));
            leave(sockets, how);
            Loopback.await("all have gone", () -> new HashSet<>(module.gone).equals(ids(how)));
            lb.loop
                    .submit(() -> queued.forEach(id -> module.actions.send(id, "u", 0)))
                    .sync();
            assertOnlyTheLastIsSent(lb, up);
            if (how == Leaving.HALF) {
                assertNull(Loopback.answer(sockets.get(0)), "the connection ends without a response");
            }
        }
    }

    /** The first attempt of each is rejected, and the policy waits before it retries. */
    @ParameterizedTest
    @EnumSource(
            value = Leaving.class,
            names = {"FIN", "RST", "FIN_BEHIND_ANOTHER"})
    void whileARetryWaits(Leaving how) throws Exception {
        try (ScriptedServer full = new ScriptedServer(
                        (request, socket) -> ScriptedServer.reply(socket, 503, "", "X-Rejected: 1"));
                ScriptedServer up = ScriptedServer.serving("x");
                Loopback lb =
                        start(Loopback.setup().upstream("full", full.address()).upstream("u", up.address()))) {
            module.onRequest = (m, r) -> m.actions.send(r.id(), "full", 0);
            List<Socket> sockets = clients(lb, how);
            Loopback.await("all were turned away", () -> module.ends.size() == CLIENTS);
            leave(sockets, how);
            Loopback.await("all have gone", () -> new HashSet<>(module.gone).equals(ids(how)));
            lb.loop
                    .submit(() -> ids(how).forEach(id -> module.actions.send(id, "u", 0)))
                    .sync();
            assertOnlyTheLastIsSent(lb, up);
        }
    }

    /** The loop has begun to connect and stands still until the clients have gone and the connections are up. */
    @ParameterizedTest
    @EnumSource(
            value = Leaving.class,
            names = {"FIN", "RST", "FIN_BEHIND_ANOTHER"})
    void whileTheUpstreamConnectionIsEstablished(Leaving how) throws Exception {
        try (ScriptedServer up = ScriptedServer.serving("x");
                Loopback lb = start(up)) {
            Set<String> queued = java.util.concurrent.ConcurrentHashMap.newKeySet();
            module.onRequest = (m, r) -> queued.add(r.id());
            List<Socket> sockets = clients(lb, how);
            Loopback.await("all are queued", () -> queued.equals(ids(how)));
            standStill(
                    lb,
                    () -> queued.forEach(id -> module.actions.send(id, "u", 0)),
                    () -> leave(sockets, how),
                    LeavingClientsTest::late);
            Loopback.await("all have gone", () -> new HashSet<>(module.gone).equals(ids(how)));
            assertOnlyTheLastIsSent(lb, up);
        }
    }

    /** What the loop reads first when it goes on are requests whose clients' ends lie right behind them. */
    @ParameterizedTest
    @EnumSource(
            value = Leaving.class,
            names = {"FIN", "RST", "FIN_BEHIND_ANOTHER", "FIN_BEHIND_A_PART"})
    void inTheSameReadAsTheRequest(Leaving how) throws Exception {
        try (ScriptedServer up = ScriptedServer.serving("x");
                Loopback lb = start(up)) {
            module.onRequest = (m, r) -> m.actions.send(r.id(), "u", 0);
            standStill(lb, () -> {}, () -> leave(clients(lb, how), how), () -> {});
            Loopback.await("none is left", () -> lb.server.clients() == 0);
            assertOnlyTheLastIsSent(lb, up);
        }
    }

    /** A timer is due when the loop goes on, and the module sends before anything that came meanwhile is read. */
    @ParameterizedTest
    @EnumSource(
            value = Leaving.class,
            names = {"FIN", "RST", "FIN_BEHIND_ANOTHER"})
    void whileTheLoopIsBlocked(Leaving how) throws Exception {
        try (ScriptedServer up = ScriptedServer.serving("x");
                Loopback lb = start(up)) {
            Set<String> queued = java.util.concurrent.ConcurrentHashMap.newKeySet();
            module.onRequest = (m, r) -> queued.add(r.id());
            List<Socket> sockets = clients(lb, how);
            Loopback.await("all are queued", () -> queued.equals(ids(how)));
            standStill(lb, () -> {}, () -> leave(sockets, how), () -> {
                late();
                queued.forEach(id -> module.actions.send(id, "u", 0));
            });
            Loopback.await("all have gone", () -> new HashSet<>(module.gone).equals(ids(how)));
            assertOnlyTheLastIsSent(lb, up);
        }
    }

    /**
     * Bodies longer than is gathered, which no attempt has taken: the rest of each and its client's end lie in the
     * kernel, where they are met only once an attempt takes the body. It never gets the last part, so it never begins.
     */
    @ParameterizedTest
    @EnumSource(
            value = Leaving.class,
            names = {"FIN", "RST"})
    void whileALongBodyIsBuffered(Leaving how) throws Exception {
        BodyLimits limits =
                new BodyLimits(true, 64 * 1024, 64L << 20, 0, 1_000_000, 30_000_000, 30_000_000, 1L << 40, 0);
        String body = "w".repeat(100_000);
        try (ScriptedServer up = ScriptedServer.serving("x");
                Loopback lb = start(Loopback.setup().upstream("u", up.address()).bodies(limits))) {
            module.streams = true;
            Set<String> queued = java.util.concurrent.ConcurrentHashMap.newKeySet();
            module.onRequest = (m, r) -> queued.add(r.id());
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
            leave(sockets, how);
            int sent = 0;
            for (String id : queued) { // one by one: a burst of new connections is not what this is about
                int gone = ++sent;
                lb.loop.submit(() -> module.actions.send(id, "u", 0)).sync();
                Loopback.await("it has gone", () -> module.gone.size() >= gone);
            }
            assertEquals(ids(how), new HashSet<>(module.gone));
            assertOnlyTheLastIsSent(lb, up);
            Loopback.await("nothing is counted", () -> lb.server.reservedForBodies() == 0);
        }
    }

    /** Behind too much, what came whole before it is answered, and then the connection ends in order. */
    @Test
    void aClientThatPipelinesTooMuchIsAnsweredAndItsConnectionEnds() throws Exception {
        try (ScriptedServer up = ScriptedServer.serving("x");
                Loopback lb = start(up)) {
            Set<String> queued = java.util.concurrent.ConcurrentHashMap.newKeySet();
            module.onRequest = (m, r) -> queued.add(r.id());
            Socket socket = lb.connect();
            ScriptedServer.write(socket, Loopback.request("first", "order", 20_000));
            ScriptedServer.write(socket, Loopback.request("second", "order", 20_000));
            Loopback.await("queued", () -> queued.contains("first"));
            byte[] noise = new byte[FAR_TOO_MUCH];
            ScriptedServer.write(
                    socket,
                    Loopback.request("third", "order", 20_000).replace("Content-Length: 4", "Content-Length: 65536"));
            socket.getOutputStream().write(noise);
            module.onRequest = (m, r) -> m.actions.send(r.id(), "u", 0);
            lb.loop.submit(() -> module.actions.send("first", "u", 0)).sync();
            java.io.InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            assertEquals(200, ScriptedServer.read(in).status());
            assertEquals(200, ScriptedServer.read(in).status());
            ScriptedServer.Message last = null;
            for (ScriptedServer.Message m = ScriptedServer.read(in); m != null; m = ScriptedServer.read(in)) {
                last = m; // the third, if it came whole before it was too much
            }
            assertTrue(last == null || "close".equals(last.headers().get("connection")));
            assertTrue(module.ends.stream().allMatch(e -> e.outcome() == Outcome.OK));
        }
    }

    /** The loop stands for as long as a request may go on waiting once its client has left. */
    private static void late() {
        for (long began = System.nanoTime(); System.nanoTime() - began < 300_000_000; ) {
            LockSupport.parkNanos(1_000_000);
        }
    }

    private interface Step {
        void run() throws Exception;
    }

    /** On the loop: {@code before}, then nothing until {@code meanwhile} is done elsewhere, then {@code after}. */
    private static void standStill(Loopback lb, Runnable before, Step meanwhile, Runnable after) throws Exception {
        CountDownLatch stands = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        io.netty.util.concurrent.Future<?> task = lb.loop.submit(() -> {
            before.run();
            stands.countDown();
            go.await();
            after.run();
            return null;
        });
        stands.await();
        try {
            meanwhile.run();
        } finally {
            go.countDown();
        }
        task.sync();
    }
}
