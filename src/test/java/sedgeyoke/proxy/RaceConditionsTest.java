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
 * Events that cross on the wire (docs/design/crossings.md). Each test sets their order: by a server that waits for a
 * latch, or by a loop that is paused until the other side has done its part.
 */
class RaceConditionsTest {
    private static final long MS = 1_000_000;
    private ScriptedPolicy policy;

    private Loopback start(Loopback.Setup setup) throws Exception {
        return setup.policy(actions -> {
                    policy = new ScriptedPolicy(actions);
                    return policy;
                })
                .start();
    }

    private static void pauseUntil(long nanos) {
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
            policy.onRequest = (m, r) -> m.actions.send(r.id(), "b", 0);
            assertEquals(200, lb.ask("warm", "read", 5_000).status());
            pauseUntil(System.nanoTime() + 30 * MS); // until that connection may carry the next request
            List<Boolean> seen = new ArrayList<>();
            policy.onRequest = (m, r) -> m.actions.send(r.id(), "a", 100_000);
            policy.onEnd = (m, end) -> {
                if (end.outcome() == Outcome.TIMEOUT) {
                    m.actions.send(end.request(), "b", 0);
                    // The loop is paused here: what it has not closed by now is open while the second copy is out.
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

    /** The policy chose while upstreams still remembered the first one; the connection came up when they did not. */
    @Test
    void aRepeatWhoseTimeHasRunOutWhileItConnectedIsNotSent() throws Exception {
        try (ScriptedServer resets = new ScriptedServer((request, socket) -> socket.close());
                ScriptedServer upstream = ScriptedServer.serving("x");
                Loopback lb = start(Loopback.setup()
                        .setting("\"memory-span-s\":2", "\"memory-span-s\":0.25")
                        .upstream("a", resets.address())
                        .upstream("b", upstream.address()))) {
            policy.onRequest = (m, r) -> m.actions.send(r.id(), r.id().equals("id-1") ? "a" : "b", 0);
            policy.onEnd = (m, end) -> {
                if (end.outcome() == Outcome.RESET) {
                    m.actions.send(end.request(), "b", 0);
                    pauseUntil(System.nanoTime() + 300 * MS); // it connects, and the loop comes to it too late
                } else if (end.outcome() == Outcome.NOT_SENT) {
                    m.actions.fail(end.request());
                }
            };
            assertEquals(502, lb.ask("id-1", "update", 5_000).status());
            assertEquals(200, lb.ask("id-2", "update", 5_000).status());
            assertEquals(1, upstream.requests.size(), "only the second one");
            // The client may have its response before the policy is notified of the outcome.
            Loopback.await("all attempts ended", () -> policy.ends.size() >= 3);
            assertEquals(
                    List.of(Outcome.RESET, Outcome.NOT_SENT, Outcome.OK),
                    policy.ends.stream().map(e -> e.outcome()).toList());
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
        try (ScriptedServer upstream = new ScriptedServer((request, socket) -> {
                    if (request.headers().get("x-call-id").equals("id-1")) {
                        ScriptedServer.reply(socket, 200, "first");
                        nextSent.await();
                        ScriptedServer.reply(socket, 200, "first");
                    } else {
                        nextSent.countDown();
                        ScriptedServer.reply(socket, 200, "second");
                    }
                });
                Loopback lb = start(Loopback.setup().upstream("u", upstream.address()))) {
            AtomicInteger queued = new AtomicInteger();
            policy.onRequest = (m, r) -> queued.incrementAndGet();
            Socket next = lb.connect();
            ScriptedServer.write(next, Loopback.request("id-2", "order", 5_000));
            Socket first = lb.connect();
            ScriptedServer.write(first, Loopback.request("id-1", "order", 5_000));
            Loopback.await("both are queued", () -> queued.get() == 2);
            long[] took = new long[1];
            policy.onEnd = (m, end) -> {
                if (end.request().equals("id-1")) {
                    long ended = System.nanoTime();
                    pauseUntil(ended + 4 * MS); // some milliseconds
                    m.actions.send("id-2", "u", 0);
                    took[0] = System.nanoTime() - ended;
                }
            };
            lb.loop.submit(() -> policy.actions.send("id-1", "u", 0)).sync();
            assertEquals("first", Loopback.answer(first).body());
            String answer = Loopback.answer(next).body();
            if (took[0] > 8 * MS) {
                return false;
            }
            assertEquals("second", answer);
            Loopback.await("the connection with the second answer is closed", () -> upstream.left.get() == 1);
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

    /** The loop is paused over the last moment for requests; they come meanwhile on idle connections. */
    @Test
    void requestsThatArriveAsIdleConnectionsAreClosedAreAnswered() throws Exception {
        try (Loopback lb = start(ending())) {
            policy.onRequest = (m, r) -> m.actions.reject(r.id(), 0);
            List<Socket> sockets = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                Socket socket = lb.connect();
                assertEquals(
                        503,
                        Loopback.ask(socket, Loopback.request("idle-" + i, "order", 5_000))
                                .status());
                sockets.add(socket);
            }
            CountDownLatch loopPaused = new CountDownLatch(1);
            CountDownLatch go = new CountDownLatch(1);
            long shutdownStartedAt = end(lb);
            lb.loop.schedule(
                    () -> {
                        loopPaused.countDown();
                        go.await();
                        pauseUntil(shutdownStartedAt + 700 * MS);
                        return null;
                    },
                    590,
                    TimeUnit.MILLISECONDS);
            loopPaused.await();
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
            policy.onRequest = (m, r) -> m.actions.reject(r.id(), 0);
            Loopback.await("ready", () -> lb.health() == 200);
            CountDownLatch loopPaused = new CountDownLatch(1);
            CountDownLatch go = new CountDownLatch(1);
            long shutdownStartedAt = end(lb);
            lb.loop.schedule(
                    () -> {
                        loopPaused.countDown();
                        go.await();
                        pauseUntil(shutdownStartedAt + 580 * MS);
                        return null;
                    },
                    500,
                    TimeUnit.MILLISECONDS);
            loopPaused.await();
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
        try (ScriptedServer upstream = ScriptedServer.serving(large);
                Loopback lb = start(ending().upstream("u", upstream.address()))) {
            Socket client = new Socket();
            client.setReceiveBufferSize(4_096); // so that most of the answer is buffered by the system
            client.connect(lb.address);
            client.setSoTimeout(10_000);
            ScriptedServer.write(client, Loopback.request("id-1", "order", 5_000));
            Loopback.await("known", () -> lb.server.clients() == 1);
            CountDownLatch loopPaused = new CountDownLatch(1);
            CountDownLatch sent = new CountDownLatch(1);
            long[] answered = new long[1];
            long[] closing = new long[1];
            policy.onEnd = (m, end) -> answered[0] = System.nanoTime();
            long shutdownStartedAt = end(lb);
            // Before the last moment for answers, at 0.75 s, it is answered; just behind that, the loop is paused for
            // as
            // long as the next look takes to be due, and what is due behind it has come before the look.
            lb.loop.schedule(() -> policy.actions.send("id-1", "u", 0), 700, TimeUnit.MILLISECONDS);
            lb.loop.schedule(
                    () -> {
                        lb.loop.schedule(
                                () -> {
                                    loopPaused.countDown();
                                    sent.await();
                                    closing[0] = System.nanoTime();
                                    return null;
                                },
                                0,
                                TimeUnit.MILLISECONDS);
                        pauseUntil(System.nanoTime() + 15 * MS);
                    },
                    755,
                    TimeUnit.MILLISECONDS);
            loopPaused.await();
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
            policy.onRequest = (m, r) -> queued.add(r.id());
            Socket client = lb.connect();
            ScriptedServer.write(
                    client, Loopback.request("id-1", "order", 20_000) + Loopback.request("id-2", "order", 20_000));
            Loopback.await("queued", () -> queued.contains("id-1"));
            policy.onRequest = (m, r) -> m.actions.reject(r.id(), 0);
            lb.loop
                    .submit(() -> {
                        lb.loop.schedule(() -> policy.actions.reject("id-1", 0), 0, TimeUnit.MILLISECONDS);
                        lb.loop.schedule(() -> pauseUntil(System.nanoTime() + 2_100 * MS), 0, TimeUnit.MILLISECONDS);
                        pauseUntil(System.nanoTime() + 60 * MS); // until these and the look at all connections are due
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
        } catch (SocketTimeoutException timeout) {
            throw new AssertionError(timeout);
        } catch (IOException reset) {
            return -1;
        }
    }

    /** A pipelined request waits for the response before it; its upstream is told what is left after that. */
    @Test
    void aPipelinedRequestHasLessTimeLeft() throws Exception {
        AtomicInteger toldMillis = new AtomicInteger();
        try (ScriptedServer upstream = new ScriptedServer((request, socket) -> {
                    if (request.headers().get("x-call-id").equals("first")) {
                        pauseUntil(System.nanoTime() + 600 * MS);
                    } else {
                        toldMillis.set(Integer.parseInt(request.headers().get("x-budget-ms")));
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
            assertTrue(toldMillis.get() <= 1_500 - 600 + 150, "told " + toldMillis.get() + " ms, 900 were left");
        }
    }

    // ---- Lists ---------------------------------------------------------------------------------------

    /** The watch falls silent, and so does the call after it: the drain of that time is known within its grace. */
    @Test
    void twoSilentCallsInARowStillBringADrainInTime() throws Exception {
        String readyMember = Loopback.member("u", "127.0.0.1:1", "up");
        AtomicInteger calls = new AtomicInteger();
        ScriptedServer discovery = new ScriptedServer((request, socket) -> {
            int call = calls.incrementAndGet();
            if (call == 1) {
                ScriptedServer.reply(socket, 200, Loopback.list(1, true, readyMember));
            } else if (call > 3) {
                ScriptedServer.reply(
                        socket, 200, Loopback.list(2, false, readyMember.replace("\"up\"", "\"draining\"")));
            } // else silence, and the connection stays open
        });
        Loopback.Setup setup =
                Loopback.setup().discovery(discovery).setting("\"drain-grace-s\":0.4", "\"drain-grace-s\":1.0");
        try (Loopback lb = start(setup)) {
            Loopback.await("the watch", () -> lb.discovery.requests.size() == 2);
            long silentSince = System.nanoTime();
            Loopback.await("the drain", () -> policy.lists.stream().anyMatch(l -> l.contains("DRAINING")));
            assertTrue(System.nanoTime() - silentSince < 1_050 * MS, "the agent may have had it since the watch began");
            assertTrue(lb.discovery.requests.get(1).line().contains("hold_ms=200"));
            assertTrue(lb.discovery.requests.get(2).line().contains("hold_ms=0"), "does it answer at all?");
            assertTrue(lb.discovery.requests.get(3).line().contains("hold_ms=0"));
        }
    }

    /** The agent has been silent for a while; what it has at its return counts at once, so it is polled often. */
    @Test
    void aSilentAgentIsAskedWithinTheTimeThatDrainsLeave() throws Exception {
        String readyMember = Loopback.member("u", "127.0.0.1:1", "up");
        List<Long> callTimes = new java.util.concurrent.CopyOnWriteArrayList<>();
        ScriptedServer discovery = new ScriptedServer((request, socket) -> {
            callTimes.add(System.nanoTime());
            if (callTimes.size() == 1) {
                ScriptedServer.reply(socket, 200, Loopback.list(1, true, readyMember));
            }
        });
        try (Loopback lb = start(Loopback.setup().discovery(discovery))) {
            Loopback.await("polled often", () -> lb.discovery.requests.size() >= 12 && callTimes.size() >= 12);
            long sum = callTimes.get(11) - callTimes.get(2);
            assertTrue(sum / 9 < 400 * MS, "drain-grace-s of these settings, on the mean of nine: " + sum / 9 / MS);
        }
    }

    /**
     * A long list that comes slowly is taken in although discovery is called again meanwhile, as an answer may as well
     * never end. Two connections are enough for that.
     */
    @Test
    void aListThatHasBegunToComeIsWaitedFor() throws Exception {
        String readyMember = Loopback.member("u", "127.0.0.1:1", "up");
        String list = Loopback.list(1, true, readyMember);
        AtomicInteger open = new AtomicInteger();
        AtomicInteger mostOpen = new AtomicInteger();
        AtomicInteger complete = new AtomicInteger();
        ScriptedServer discovery = new ScriptedServer((request, socket) -> {
            if (request.line().contains("from=")) {
                return; // no change, and no response
            }
            mostOpen.accumulateAndGet(open.incrementAndGet(), Math::max);
            ScriptedServer.write(
                    socket, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list.substring(0, 9));
            if (complete.incrementAndGet() == 1) {
                pauseUntil(System.nanoTime() + 900 * MS);
                ScriptedServer.write(socket, list.substring(9));
            } else {
                socket.getInputStream().read(); // until we close it: this one never ends
                open.decrementAndGet();
            }
        });
        try (Loopback lb = start(Loopback.setup().discovery(discovery))) {
            Loopback.await("whole", () -> policy.lists.contains("COMPLETE u:READY"));
            assertTrue(complete.get() >= 2, "nothing else is asked while an answer is slow");
            assertTrue(mostOpen.get() <= 3, "connections at once: " + mostOpen.get());
            Loopback.await("the watch goes on from there", () -> lb.discovery.requests.stream()
                    .anyMatch(request -> request.line().contains("from=1&")));
        }
    }
}
