package sedgeyoke.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Requests whose id comes again although it is new with every request, through a balancer in a process of its own. */
class RepeatedIdsTest {
    private static final int BUDGET_MILLIS = 5_000;
    private static final int CLIENT_TIMEOUT_MILLIS = 10_000;
    private static final int SECOND_ARRIVALS = 5;

    @TempDir
    private Path folder;

    /** Guards against requests that run twice because their id comes again after their client has left. */
    @ParameterizedTest
    @CsvSource({"order, 1, 400", "update, 1, 400", "read, 6, 200"})
    void anIdThatComesAgainAfterItsClientHasLeftRunsOnlyOnceUnlessItIsSafe(String requestClass, int runs, int status)
            throws Exception {
        CountDownLatch firstLeft = new CountDownLatch(1);
        try (ScriptedServer upstream = new ScriptedServer((request, socket) -> {
                    firstLeft.await();
                    ScriptedServer.reply(socket, 200, "done");
                });
                ListedUpstreams listed = new ListedUpstreams(Loopback.member("u", upstream.address(), "up"));
                BalancerProcess balancer = listed.start(folder)) {
            balancer.awaitHealthy();
            try (Socket client = connect(balancer)) {
                ScriptedServer.write(client, Loopback.request("a", requestClass, BUDGET_MILLIS));
                Loopback.await("the request has begun", () -> upstream.requests.size() == 1);
            }
            Loopback.await("the balancer has stopped the attempt", () -> balancer.hasLogged("request a attempt 0"));
            firstLeft.countDown();
            for (int arrival = 0; arrival < SECOND_ARRIVALS; arrival++) {
                assertEquals(status, ask(balancer, "a", requestClass));
            }
            assertEquals(200, ask(balancer, "b", requestClass), "another id is served");
            assertEquals(
                    runs,
                    upstream.requests.stream()
                            .filter(request ->
                                    request.headers().get("x-call-id").equals("a"))
                            .count());
        }
    }

    /** Guards against requests that run twice because their id comes again after their response was lost. */
    @Test
    void anUnsafeIdThatComesAgainAfterItsResponseRunsOnlyOnce() throws Exception {
        try (ScriptedServer upstream = ScriptedServer.serving("done");
                ListedUpstreams listed = new ListedUpstreams(Loopback.member("u", upstream.address(), "up"));
                BalancerProcess balancer = listed.start(folder)) {
            balancer.awaitHealthy();
            assertEquals(200, ask(balancer, "a", "order"));
            assertEquals(400, ask(balancer, "a", "order"));
            assertEquals(1, upstream.requests.size());
        }
    }

    private static Socket connect(BalancerProcess balancer) throws Exception {
        Socket client = new Socket(InetAddress.getLoopbackAddress(), balancer.port());
        client.setSoTimeout(CLIENT_TIMEOUT_MILLIS);
        return client;
    }

    private static int ask(BalancerProcess balancer, String id, String requestClass) throws Exception {
        try (Socket client = connect(balancer)) {
            return Loopback.ask(client, Loopback.request(id, requestClass, BUDGET_MILLIS))
                    .status();
        }
    }
}
