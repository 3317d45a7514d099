package sedgeyoke.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** An upstream whose connections break, and at whose address another process answers before discovery tells. */
class ReplacedProcessTest {
    private static final int REQUESTS = 24;
    private static final int MIN_IN_FLIGHT = 3;
    private static final int BUDGET_MILLIS = 3_000;

    @TempDir
    private Path folder;

    private final Set<String> runAtFirstProcess = ConcurrentHashMap.newKeySet();
    private final Set<String> runAtSecondProcess = ConcurrentHashMap.newKeySet();
    private final Set<String> runElsewhere = ConcurrentHashMap.newKeySet();
    private final AtomicBoolean replaced = new AtomicBoolean();
    private final CountDownLatch broken = new CountDownLatch(1);

    /**
     * Guards against keyed requests that run twice: the other process at the address may belong to another zone, whose
     * upstreams do not know the key.
     */
    @Test
    void keyedRequestsAreNotRepeatedAtAnAddressWhoseConnectionsHaveJustBroken() throws Exception {
        try (ScriptedServer replacedUpstream = new ScriptedServer(this::serveAndBreak);
                ListedUpstreams listed =
                        new ListedUpstreams(Loopback.member("replaced", replacedUpstream.address(), "up"));
                BalancerProcess balancer = listed.start(folder)) {
            play(balancer);
            assertEquals(Set.of(), inBoth(runAtFirstProcess, runAtSecondProcess), balancer.output());
        }
    }

    /** Guards against giving up a keyed request that another upstream of the zone can repeat. */
    @Test
    void keyedRequestsAreRepeatedAtAnotherUpstreamOfTheirZone() throws Exception {
        try (ScriptedServer replacedUpstream = new ScriptedServer(this::serveAndBreak);
                ScriptedServer otherUpstream = new ScriptedServer((request, socket) -> {
                    runElsewhere.add(id(request));
                    ScriptedServer.reply(socket, 200, "other");
                });
                ListedUpstreams listed = new ListedUpstreams(
                        Loopback.member("replaced", replacedUpstream.address(), "up"),
                        Loopback.member("other", otherUpstream.address(), "up"));
                BalancerProcess balancer = listed.start(folder)) {
            play(balancer);
            assertEquals(Set.of(), inBoth(runAtFirstProcess, runAtSecondProcess), balancer.output());
            assertEquals(runAtFirstProcess, inBoth(runAtFirstProcess, runElsewhere), balancer.output());
        }
    }

    /** Sends requests, and lets the first process break with some of them in flight. */
    private void play(BalancerProcess balancer) throws InterruptedException {
        balancer.awaitHealthy();
        ExecutorService clients = Executors.newFixedThreadPool(REQUESTS);
        for (int number = 0; number < REQUESTS; number++) {
            String id = "k-" + number;
            clients.submit(() -> ask(balancer, id));
        }
        Loopback.await("requests are in flight", () -> runAtFirstProcess.size() >= MIN_IN_FLIGHT);
        replaced.set(true);
        broken.countDown();
        clients.shutdown();
        assertTrue(clients.awaitTermination(3L * BUDGET_MILLIS, TimeUnit.MILLISECONDS));
    }

    private static Set<String> inBoth(Set<String> one, Set<String> other) {
        Set<String> both = new TreeSet<>(one);
        both.retainAll(other);
        return both;
    }

    /** Holds requests until all connections are reset; from then on, another process serves at once. */
    private void serveAndBreak(ScriptedServer.Message request, Socket socket) throws IOException, InterruptedException {
        if (replaced.get()) {
            runAtSecondProcess.add(id(request));
            ScriptedServer.reply(socket, 200, "second");
            return;
        }
        runAtFirstProcess.add(id(request));
        broken.await();
        socket.setSoLinger(true, 0);
        socket.close();
    }

    private static String id(ScriptedServer.Message request) {
        return request.headers().get("x-call-id");
    }

    private static int ask(BalancerProcess balancer, String id) throws IOException {
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), balancer.port())) {
            client.setSoTimeout(2 * BUDGET_MILLIS);
            return Loopback.ask(client, Loopback.request(id, "update", BUDGET_MILLIS))
                    .status();
        }
    }
}
