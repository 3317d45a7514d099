package sedgeyoke.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;

/**
 * What happens where two things meet in the same milliseconds (docs/design/crossings.md). Each meeting is set by the
 * test: a server that waits for a word, or a loop that stands still until the other side has done its part.
 */
class CrossingsTest {
    private static final long MS = 1_000_000;
    private ScriptedPolicy module;

    private Loopback start(Loopback.Setup setup) throws Exception {
        return setup.module(actions -> {
                    module = new ScriptedPolicy(actions);
                    return module;
                })
                .start();
    }

    private static void standUntil(long nanos) {
        while (System.nanoTime() < nanos) {
            LockSupport.parkNanos(MS);
        }
    }

    // ---- Attempts ------------------------------------------------------------------------------------

    /** Where two copies may not be out at once, the first connection is closed before the second copy is written. */
    @Test
    void anAttemptThatIsStoppedIsOffTheWireBeforeTheNextOneGoesOut() throws Exception {
        CompletableFuture<Boolean> firstClosed = new CompletableFuture<>();
        try (ScriptedServer silent = new ScriptedServer((request, socket) -> {});
                ScriptedServer second = new ScriptedServer((request, socket) -> {
                    if (request.headers().get("x-call-id").equals("id-1")) {
                        firstClosed.complete(Boolean.TRUE);
                    }
                    ScriptedServer.reply(socket, 200, "x");
                });
                Loopback lb = start(Loopback.setup()
                        .setting("\"may-duplicate\":true", "\"may-duplicate\":false")
                        .upstream("a", silent.address())
                        .upstream("b", second.address()))) {
            module.onRequest = (m, r) -> m.actions.send(r.id(), "b", 0);
            assertEquals(200, lb.ask("warm", "read", 5_000).status());
            standUntil(System.nanoTime() + 30 * MS); // until that connection may carry the next request
            List<Boolean> seen = new ArrayList<>();
            module.onRequest = (m, r) -> m.actions.send(r.id(), "a", 100_000);
            module.onEnd = (m, end) -> {
                if (end.outcome() == Outcome.TIMEOUT) {
                    m.actions.send(end.request(), "b", 0);
                    // The loop stands here: what it has not closed by now is open while the second copy is out.
                    firstClosed.join();
                    seen.add(silent.left.get() == 1 || closesWhileTheLoopStands(silent));
                }
            };
            assertEquals(200, lb.ask("id-1", "read", 5_000).status());
            assertEquals(List.of(true), seen);
        }
    }

    private static boolean closesWhileTheLoopStands(ScriptedServer peer) {
        long until = System.nanoTime() + 500 * MS;
        while (peer.left.get() == 0 && System.nanoTime() < until) {
            LockSupport.parkNanos(MS);
        }
        return peer.left.get() == 1;
    }

    /** The module chose while upstreams still remembered the first one; the connection came up when they did not. */
    @Test
    void aRepeatWhoseTimeHasRunOutWhileItConnectedIsNotSent() throws Exception {
        try (ScriptedServer resets = new ScriptedServer((request, socket) -> socket.close());
                ScriptedServer up = ScriptedServer.serving("x");
                Loopback lb = start(Loopback.setup()
                        .setting("\"memory-span-s\":2", "\"memory-span-s\":0.25")
                        .upstream("a", resets.address())
                        .upstream("b", up.address()))) {
            module.onRequest = (m, r) -> m.actions.send(r.id(), r.id().equals("id-1") ? "a" : "b", 0);
            module.onEnd = (m, end) -> {
                if (end.outcome() == Outcome.RESET) {
                    m.actions.send(end.request(), "b", 0);
                    standUntil(System.nanoTime() + 300 * MS); // it connects, and the loop comes to it too late
                } else if (end.outcome() == Outcome.NOT_SENT) {
                    m.actions.fail(end.request());
                }
            };
            assertEquals(502, lb.ask("id-1", "update", 5_000).status());
            assertEquals(200, lb.ask("id-2", "update", 5_000).status());
            assertEquals(1, up.requests.size(), "only the second one");
            // The client may have its response before the policy is notified of the outcome.
            Loopback.await("all attempts ended", () -> module.ends.size() >= 3);
            assertEquals(
                    List.of(Outcome.RESET, Outcome.NOT_SENT, Outcome.OK),
                    module.ends.stream().map(e -> e.outcome()).toList());
        }
    }

    /** A second answer to the first request comes while the next one would be on that connection, were it used. */
    @Test
    void aSecondAnswerSomeMillisecondsLateMeetsNoRequest() throws Exception {
        for (int attempts = 0; attempts < 20 && !secondAnswer(); attempts++) {
            continue; // the next request went out later than some milliseconds
        }
    }

    /** False if the machine let more time pass than a second answer may be late. */
    private boolean secondAnswer() throws Exception {
        CountDownLatch nextSent = new CountDownLatch(1);
        try (ScriptedServer up = new ScriptedServer((request, socket) -> {
                    if (request.headers().get("x-call-id").equals("id-1")) {
                        ScriptedServer.reply(socket, 200, "first");
                        nextSent.await();
                        ScriptedServer.reply(socket, 200, "first");
                    } else {
                        nextSent.countDown();
                        ScriptedServer.reply(socket, 200, "second");
                    }
                });
                Loopback lb = start(Loopback.setup().upstream("u", up.address()))) {
            AtomicInteger queued = new AtomicInteger();
            module.onRequest = (m, r) -> queued.incrementAndGet();
            Socket next = lb.connect();
            ScriptedServer.write(next, Loopback.request("id-2", "order", 5_000));
            Socket first = lb.connect();
            ScriptedServer.write(first, Loopback.request("id-1", "order", 5_000));
            Loopback.await("both are queued", () -> queued.get() == 2);
            long[] took = new long[1];
            module.onEnd = (m, end) -> {
                if (end.request().equals("id-1")) {
                    long ended = System.nanoTime();
                    standUntil(ended + 4 * MS); // some milliseconds
                    m.actions.send("id-2", "u", 0);
                    took[0] = System.nanoTime() - ended;
                }
            };
            lb.loop.submit(() -> module.actions.send("id-1", "u", 0)).sync();
            assertEquals("first", Loopback.answer(first).body());
            String answer = Loopback.answer(next).body();
            if (took[0] > 8 * MS) {
                return false;
            }
            assertEquals("second", answer);
            Loopback.await("the connection with the second answer is closed", () -> up.left.get() == 1);
            return true;
        }
    }

    // ---- The end -------------------------------------------------------------------------------------

    private Loopback.Setup ending() {
        return Loopback.setup().setting("\"give-up-s\":2", "\"give-up-s\":0.3");
    }

    /** Ends it on a thread of its own; the time of the signal. */
    private static long end(Loopback lb) {
        new Thread(lb.server::shutDown).start();
        return System.nanoTime();
    }

    /** The last byte of a request that has begun to come may be on its way: its connection is ended by an answer. */
    @Test
    void aRequestThatIsIncompleteAtShutdownIsAnswered() throws Exception {
        try (Loopback lb = start(ending())) {
            List<Socket> sockets = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                Socket socket = lb.connect();
                String request = Loopback.request("id-" + i, "order", 5_000);
                ScriptedServer.write(socket, request.substring(0, request.length() - 2));
                sockets.add(socket);
            }
            Loopback.await("all are known", () -> lb.server.clients() == 20);
            end(lb);
            for (Socket socket : sockets) {
                assertEquals(503, Loopback.answer(socket).status());
            }
        }
    }

    /** The loop stands still over the last moment for requests; they come meanwhile on idle connections. */
    @Test
    void requestsThatArriveAsIdleConnectionsAreClosedAreAnswered() throws Exception {
        try (Loopback lb = start(ending())) {
            module.onRequest = (m, r) -> m.actions.reject(r.id(), 0);
            List<Socket> sockets = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                Socket socket = lb.connect();
                assertEquals(
                        503,
                        Loopback.ask(socket, Loopback.request("idle-" + i, "order", 5_000))
                                .status());
                sockets.add(socket);
            }
            CountDownLatch stands = new CountDownLatch(1);
            CountDownLatch go = new CountDownLatch(1);
            long shutdownStartedAt = end(lb);
            lb.loop.schedule(
                    () -> {
                        stands.countDown();
                        go.await();
                        standUntil(shutdownStartedAt + 700 * MS);
                        return null;
                    },
                    590,
                    TimeUnit.MILLISECONDS);
            stands.await();
            for (int i = 0; i < 20; i++) {
                ScriptedServer.write(sockets.get(i), Loopback.request("id-" + i, "order", 5_000));
            }
            go.countDown();
            for (Socket socket : sockets) {
                assertEquals(503, Loopback.answer(socket).status());
            }
        }
    }

    /** More new connections than one pass accepts, in the moment in which the listener is to be closed. */
    @Test
    void connectionsInTheBacklogAreServedBeforeTheListenerCloses() throws Exception {
        try (Loopback lb = start(ending())) {
            module.onRequest = (m, r) -> m.actions.reject(r.id(), 0);
            Loopback.await("ready", () -> lb.health() == 200);
            CountDownLatch stands = new CountDownLatch(1);
            CountDownLatch go = new CountDownLatch(1);
            long shutdownStartedAt = end(lb);
            lb.loop.schedule(
                    () -> {
                        stands.countDown();
                        go.await();
                        standUntil(shutdownStartedAt + 580 * MS);
                        return null;
                    },
                    500,
                    TimeUnit.MILLISECONDS);
            stands.await();
            List<Socket> sockets = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                Socket socket = lb.connect();
                ScriptedServer.write(socket, Loopback.request("id-" + i, "order", 5_000));
                sockets.add(socket);
            }
            go.countDown();
            int answered = 0;
            for (Socket socket : sockets) {
                answered += status(socket) == 503 ? 1 : 0;
            }
            assertEquals(60, answered);
        }
    }

    /**
     * A client sends more in the moment in which its connection is closed after its last response: with unread bytes
     * the connection is reset, and what the system still buffers of the response is lost.
     */
    @Test
    void aResponseBeingWrittenIsCompleteThoughItsClientSendsMore() throws Exception {
        for (int attempts = 0; attempts < 20 && !sendsOn(); attempts++) {
            continue; // the machine let more time pass than the connection is left alone for
        }
    }

    /** False if that was so: the connection had been closed in order before, or its answer came too late. */
    private boolean sendsOn() throws Exception {
        String large = "x".repeat(400_000);
        try (ScriptedServer up = ScriptedServer.serving(large);
                Loopback lb = start(ending().upstream("u", up.address()))) {
            Socket client = new Socket();
            client.setReceiveBufferSize(4_096); // so that most of the answer is buffered by the system
            client.connect(lb.address);
            client.setSoTimeout(10_000);
            ScriptedServer.write(client, Loopback.request("id-1", "order", 5_000));
            Loopback.await("known", () -> lb.server.clients() == 1);
            CountDownLatch stands = new CountDownLatch(1);
            CountDownLatch sent = new CountDownLatch(1);
            long[] answered = new long[1];
            long[] closing = new long[1];
            module.onEnd = (m, end) -> answered[0] = System.nanoTime();
            long shutdownStartedAt = end(lb);
            // Before the last moment for answers, at 0.75 s, it is answered; just behind that, the loop stands for as
            // long as the next look takes to be due, and what is due behind it has come before the look.
            lb.loop.schedule(() -> module.actions.send("id-1", "u", 0), 700, TimeUnit.MILLISECONDS);
            lb.loop.schedule(
                    () -> {
                        lb.loop.schedule(
                                () -> {
                                    stands.countDown();
                                    sent.await();
                                    closing[0] = System.nanoTime();
                                    return null;
                                },
                                0,
                                TimeUnit.MILLISECONDS);
                        standUntil(System.nanoTime() + 15 * MS);
                    },
                    755,
                    TimeUnit.MILLISECONDS);
            stands.await();
            ScriptedServer.write(client, Loopback.request("id-2", "order", 5_000));
            sent.countDown();
            if (answered[0] == 0 || closing[0] - answered[0] > 80 * MS || closing[0] - shutdownStartedAt > 800 * MS) {
                return false;
            }
            assertEquals(large, Loopback.answer(client).body());
            return true;
        }
    }

    /** A connection with a pipelined request is not idle, however late the loop processes it. */
    @Test
    void aConnectionWithAPipelinedRequestIsNotClosedAsIdle() throws Exception {
        try (Loopback lb = start(Loopback.setup())) {
            Set<String> queued = ConcurrentHashMap.newKeySet();
            module.onRequest = (m, r) -> queued.add(r.id());
            Socket client = lb.connect();
            ScriptedServer.write(
                    client, Loopback.request("id-1", "order", 20_000) + Loopback.request("id-2", "order", 20_000));
            Loopback.await("queued", () -> queued.contains("id-1"));
            module.onRequest = (m, r) -> m.actions.reject(r.id(), 0);
            lb.loop
                    .submit(() -> {
                        lb.loop.schedule(() -> module.actions.reject("id-1", 0), 0, TimeUnit.MILLISECONDS);
                        lb.loop.schedule(() -> standUntil(System.nanoTime() + 2_100 * MS), 0, TimeUnit.MILLISECONDS);
                        standUntil(System.nanoTime() + 60 * MS); // until these and the look at all connections are due
                    })
                    .sync();
            java.io.InputStream in = new java.io.BufferedInputStream(client.getInputStream());
            assertEquals(503, ScriptedServer.read(in).status());
            ScriptedServer.Message second = ScriptedServer.read(in);
            assertEquals(503, second == null ? 0 : second.status());
        }
    }

    private static int status(Socket socket) {
        try {
            ScriptedServer.Message answer = Loopback.answer(socket);
            return answer == null ? 0 : answer.status();
        } catch (SocketTimeoutException e) {
            throw new AssertionError(e);
        } catch (IOException reset) {
            return -1;
        }
    }

    // ---- Lists ---------------------------------------------------------------------------------------

    /** The watch falls silent, and so does the call after it: the drain of that time must still be kept (6 s). */
    @Test
    void twoSilentCallsInARowStillBringADrainInTime() throws Exception {
        String up = Loopback.member("u", "127.0.0.1:1", "up");
        AtomicInteger calls = new AtomicInteger();
        ScriptedServer discovery = new ScriptedServer((request, socket) -> {
            int call = calls.incrementAndGet();
            if (call == 1) {
                ScriptedServer.reply(socket, 200, Loopback.list(1, true, up));
            } else if (call > 3) {
                ScriptedServer.reply(socket, 200, Loopback.list(2, false, up.replace("\"up\"", "\"draining\"")));
            } // else silence, and the connection stays open
        });
        try (Loopback lb = start(Loopback.setup().discovery(discovery))) {
            Loopback.await("the watch", () -> lb.discovery.requests.size() == 2);
            long silentSince = System.nanoTime();
            Loopback.await("the drain", () -> module.lists.stream().anyMatch(l -> l.contains("DRAINING")));
            assertTrue(System.nanoTime() - silentSince < 6_000 * MS, "what it misses counts as announced after 6 s");
            assertTrue(lb.discovery.requests.get(1).line().contains("hold_ms=2000"));
            assertTrue(lb.discovery.requests.get(2).line().contains("hold_ms=0"), "does it answer at all?");
            assertTrue(lb.discovery.requests.get(3).line().contains("hold_ms=0"));
        }
    }

    /** The agent has been silent for a while; what it has at its return counts at once, so it is asked often. */
    @Test
    void aSilentAgentIsAskedWithinTheTimeThatDrainsLeave() throws Exception {
        String up = Loopback.member("u", "127.0.0.1:1", "up");
        List<Long> asked = new java.util.concurrent.CopyOnWriteArrayList<>();
        ScriptedServer discovery = new ScriptedServer((request, socket) -> {
            asked.add(System.nanoTime());
            if (asked.size() == 1) {
                ScriptedServer.reply(socket, 200, Loopback.list(1, true, up));
            }
        });
        try (Loopback lb = start(Loopback.setup().discovery(discovery))) {
            Loopback.await("asked often", () -> lb.discovery.requests.size() >= 12 && asked.size() >= 12);
            long sum = asked.get(11) - asked.get(2);
            assertTrue(sum / 9 < 400 * MS, "drain-grace-s of these settings, on the mean of nine: " + sum / 9 / MS);
        }
    }

    /** A long list that comes slowly is no silence. */
    @Test
    void aListThatHasBegunToComeIsWaitedFor() throws Exception {
        String up = Loopback.member("u", "127.0.0.1:1", "up");
        String list = Loopback.list(1, true, up);
        ScriptedServer discovery = new ScriptedServer((request, socket) -> {
            if (request.line().contains("from=")) {
                return; // nothing new, and no word of it
            }
            ScriptedServer.write(
                    socket, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list.substring(0, 9));
            standUntil(System.nanoTime() + 900 * MS);
            ScriptedServer.write(socket, list.substring(9));
        });
        try (Loopback lb = start(Loopback.setup().discovery(discovery))) {
            Loopback.await("whole", () -> module.lists.contains("COMPLETE u:READY"));
            assertEquals(
                    1,
                    lb.discovery.requests.stream()
                            .filter(r -> !r.line().contains("from="))
                            .count());
        }
    }
}
