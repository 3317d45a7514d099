package sedgeyoke.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sedgeyoke.proxy.ScriptedAgent.Fault.CLOSE;
import static sedgeyoke.proxy.ScriptedAgent.Fault.FIRST_BYTES_ONLY;
import static sedgeyoke.proxy.ScriptedAgent.Fault.HALF;
import static sedgeyoke.proxy.ScriptedAgent.Fault.HALF_AND_CLOSE;
import static sedgeyoke.proxy.ScriptedAgent.Fault.SILENT;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sedgeyoke.drill.ProgramProcess;
import sedgeyoke.proxy.ScriptedAgent.Fault;

/**
 * The failure of 2026-12-02. What users saw: upstreams that were shutting down still got a few requests up to 1.45 s
 * after the drain was announced, with a grace period of 1.0 s.
 *
 * <p>Order of events: balancer processes were killed and started again while upstreams were being replaced. A new
 * process took requests the moment it listened, and sent them by the endpoint list of its configuration; its discovery
 * agent had had a newer list since before. The first answers of the agent broke or came 0.1 s after the first requests.
 *
 * <p>Cause: the grace period counts from when the agent has a drain, but the balancer counted it from when it had taken
 * the list itself, and granted each step on the way (start, wait of the watch, silence, the rest of an answer that has
 * begun, backoff, half a grace after the list) a limit of its own. Each limit was thought shorter than the grace; their
 * sum is not. The evidence, measured with these tests before the repair: 102 requests by the old list of a new process;
 * the last request 2.5 s after the drain with one silent answer (2.0 s of wait and 0.5 s of silence), and 5.1 s with an
 * answer that begins and does not end (its limit of 5 s).
 *
 * <p>The balancer is a process of its own here, judged by what the upstreams receive.
 */
class DrainGraceTest {
    private static final long MILLI = 1_000_000;
    /** Between two requests of a client, so that the clients load the balancer steadily and leave it time. */
    private static final long PACE_MILLIS = 2;
    /** The grace of these settings, and what PROTOCOL adds to each limit. */
    private static final long GRACE_MILLIS = 1_050;

    /** Where lists are polled, a change counts as announced 6 s after discovery had it. */
    private static final long POLLED_MILLIS = 6_000 + GRACE_MILLIS;

    private static final int CLIENTS = 16;
    private static final String SETTINGS = Loopback.SETTINGS.replace("\"drain-grace-s\":0.4", "\"drain-grace-s\":1.0");

    @TempDir
    private Path folder;

    /** An upstream that counts what it receives. */
    private static final class CountedUpstream implements AutoCloseable {
        final AtomicInteger received = new AtomicInteger();
        final AtomicLong lastNanos = new AtomicLong(Long.MIN_VALUE);
        private final ScriptedServer server = new ScriptedServer((request, socket) -> {
            received.incrementAndGet();
            lastNanos.set(System.nanoTime());
            ScriptedServer.reply(socket, 200, "x");
        });

        CountedUpstream() throws IOException {}

        String member(String id, String phase) {
            return Loopback.member(id, server.address(), phase);
        }

        @Override
        public void close() {
            server.close();
        }
    }

    /** Clients that send one request after the other until they are stopped. */
    private static final class SteadyClients implements AutoCloseable {
        private final AtomicBoolean stopped = new AtomicBoolean();
        private final AtomicInteger answered = new AtomicInteger();
        private final List<Thread> threads = new ArrayList<>();

        SteadyClients(BalancerProcess balancer) {
            for (int i = 0; i < CLIENTS; i++) {
                int client = i;
                Thread thread = new Thread(() -> run(balancer, client));
                thread.setDaemon(true);
                thread.start();
                threads.add(thread);
            }
        }

        private void run(BalancerProcess balancer, int client) {
            for (int number = 0; !stopped.get(); ) {
                try (Socket socket = balancer.connectWhenListening()) {
                    ScriptedServer.Message answer;
                    do {
                        String id = "c" + client + "-" + number++;
                        answer = Loopback.ask(socket, Loopback.request(id, "read", 2_000));
                        answered.incrementAndGet();
                        Thread.sleep(PACE_MILLIS);
                    } while (answer != null && !stopped.get());
                } catch (IOException broken) {
                    continue;
                } catch (InterruptedException e) {
                    return;
                }
            }
        }

        @Override
        public void close() {
            stopped.set(true);
            threads.forEach(Thread::interrupt);
        }
    }

    /** The agent had the drain before the process started, and its first answers break. */
    @Test
    void aProcessSendsNothingToAnUpstreamThatDrainedBeforeItsStart() throws Exception {
        try (CountedUpstream drained = new CountedUpstream();
                CountedUpstream other = new CountedUpstream();
                ScriptedAgent agent = new ScriptedAgent(2, other.member("v", "up"))) {
            agent.spoil(List.of(HALF_AND_CLOSE, CLOSE));
            byte[] config = Loopback.configText(
                    SETTINGS,
                    agent.address(),
                    1024,
                    Loopback.list(1, true, drained.member("u", "up"), other.member("v", "up")));
            try (BalancerProcess balancer = BalancerProcess.start(folder, ProgramProcess.freePort(), config);
                    SteadyClients clients = new SteadyClients(balancer)) {
                Loopback.await("it serves", () -> clients.answered.get() > 200);
                assertEquals(0, drained.received.get(), "requests at the upstream that had drained");
            }
        }
    }

    /** Milliseconds from when the agent has the drain to the last request at its upstream. */
    private long lastRequestAfterADrain(String settings, List<Fault> spoilt) throws Exception {
        try (CountedUpstream drained = new CountedUpstream();
                CountedUpstream other = new CountedUpstream();
                ScriptedAgent agent = new ScriptedAgent(1, drained.member("u", "up"), other.member("v", "up"))) {
            byte[] config = Loopback.configText(
                    settings,
                    agent.address(),
                    1024,
                    Loopback.list(1, true, drained.member("u", "up"), other.member("v", "up")));
            try (BalancerProcess balancer = BalancerProcess.start(folder, ProgramProcess.freePort(), config);
                    SteadyClients clients = new SteadyClients(balancer)) {
                Loopback.await("both serve", () -> drained.received.get() > 50 && other.received.get() > 50);
                assertTrue(clients.answered.get() > 0);
                long watchedMillis = settings.contains("on_request") ? POLLED_MILLIS + 1_000 : 2 * GRACE_MILLIS;
                agent.change(
                        spoilt,
                        drained.member("u", "draining"),
                        drained.member("u", "draining"),
                        other.member("v", "up"));
                Loopback.await(
                        "long after the limit",
                        () -> System.nanoTime() - agent.changedAtNanos() > watchedMillis * MILLI);
                return (drained.lastNanos.get() - agent.changedAtNanos()) / MILLI;
            }
        }
    }

    private void assertDrainsInTime(List<Fault> spoilt) throws Exception {
        long last = lastRequestAfterADrain(SETTINGS, spoilt);
        assertTrue(last <= GRACE_MILLIS, spoilt + ": the last request came " + last + " ms after the drain");
    }

    /** An answer that begins and does not end hides nothing that a further call would bring. */
    @Test
    void anAnswerThatNeverEndsDoesNotDelayADrain() throws Exception {
        assertDrainsInTime(List.of(FIRST_BYTES_ONLY));
        assertDrainsInTime(List.of(HALF));
        assertDrainsInTime(List.of(HALF, SILENT));
    }

    /** Silence is noticed soon enough for a further call, and for one more after that. */
    @Test
    void silentAnswersDoNotDelayADrainBeyondItsGrace() throws Exception {
        assertDrainsInTime(List.of(SILENT));
        assertDrainsInTime(List.of(SILENT, SILENT));
        assertDrainsInTime(List.of(SILENT, HALF_AND_CLOSE));
    }

    /** A shared service that is polled may be slow, so more time is allowed; two answers may still be lost. */
    @Test
    void silentPollsDoNotDelayADrainBeyondItsLimit() throws Exception {
        String polled = SETTINGS.replace("\"discovery\":\"pushed\"", "\"discovery\":\"on_request\"");
        for (List<Fault> spoilt : List.of(List.of(SILENT, SILENT), List.of(HALF, CLOSE, SILENT))) {
            long last = lastRequestAfterADrain(polled, spoilt);
            assertTrue(last <= POLLED_MILLIS, spoilt + ": the last request came " + last + " ms after the drain");
        }
    }
}
