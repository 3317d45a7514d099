package sedgeyoke.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import sedgeyoke.body.BodyLimits;

/** Responses to clients are byte for byte those in the recordings. */
class ClientWireBytesTest extends WireBytesTestBase {
    @Test
    void responsesToClientsMatchTheRecording() throws Exception {
        try (RawServer upstream = RawServer.answering(
                OK, RawServer.response(200, ""), RawServer.response(200, "plain", "X-Load-Report: {}"), OK)) {
            exchangeAlone(before(upstream), "with a content type", post(HEAD + BUDGET, "work"));
            exchangeAlone(before(upstream), "without a body", post(HEAD + BUDGET, "work"));
            exchangeAlone(before(upstream), "without a content type", post(HEAD + BUDGET, "work"));
            exchangeAlone(
                    before(upstream), "to a client that closes", post(HEAD + BUDGET + "Connection: close\r\n", "work"));
            exchangeAlone(
                    before(upstream), "to HTTP/1.0", post(HEAD + BUDGET, "work").replace("HTTP/1.1", "HTTP/1.0"));
            exchangeAlone(
                    before(upstream),
                    "to HTTP/1.0 that stays",
                    post(HEAD + BUDGET + "Connection: keep-alive\r\n", "work").replace("HTTP/1.1", "HTTP/1.0"));
            try (Loopback balancer = before(upstream).start();
                    Socket client = balancer.connect()) {
                Loopback.await("ready", () -> balancer.health() == 200);
                exchange(balancer, "to a health check", "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
                ScriptedServer.write(client, post(HEAD + BUDGET + "Expect: 100-continue\r\n", "work"));
                InputStream in = new BufferedInputStream(client.getInputStream());
                transcript.add("to one that waits before it sends a body", RawMessages.read(in));
                transcript.add("and then", RawMessages.read(in));
            }
        }
        transcript.assertRecorded("client-responses");
    }

    @Test
    void rejectionsAndFailuresMatchTheRecording() throws Exception {
        String request = post(HEAD + "X-Budget-Ms: 300\r\n", "work");
        try (Loopback balancer = before().start()) {
            exchange(balancer, "no upstream, without Retry-After", request);
        }
        try (Loopback balancer = before().setting("\"retry-after\":false", "\"retry-after\":true")
                .start()) {
            exchange(balancer, "no upstream, with Retry-After", request);
            exchange(balancer, "the same for a read", request.replace("order", "read"));
        }
        String[][] answers = {
            {"fails after the only attempt", FAILED},
            {"the upstream closes the connection", RawServer.CLOSE},
            {"the upstream is silent until the deadline", RawServer.SILENCE},
            {"the answer is not HTTP", "nonsense\r\n\r\n"},
            {"503 that is no rejection", RawServer.response(503, "")}
        };
        for (String[] answer : answers) {
            try (RawServer upstream = RawServer.answering(answer[1]);
                    Loopback balancer = before(upstream).start()) {
                exchange(balancer, answer[0], request);
                assertEquals(1, upstream.requests.size(), "it may have run, and is not sent again");
            }
        }
        try (RawServer first = RawServer.answering(FAILED);
                RawServer second = RawServer.answering(FAILED);
                Loopback balancer = before(first, second).start()) {
            exchange(
                    balancer,
                    "each attempt fails",
                    "GET /api?obj=o1 HTTP/1.1\r\n" + HEAD.replace("order", "read") + "X-Budget-Ms: 300\r\n\r\n");
            assertTrue(first.requests.size() + second.requests.size() > 1, "there was a retry");
        }
        transcript.assertRecorded("rejections-and-failures");
    }

    @Test
    void aRepeatedIdIsRejected() throws Exception {
        try (RawServer upstream = RawServer.answering(RawServer.SILENCE);
                Loopback balancer = before(upstream).start();
                Socket first = balancer.connect()) {
            ScriptedServer.write(first, post(HEAD + BUDGET, "work"));
            Loopback.await("in flight", () -> upstream.requests.size() == 1);
            exchange(balancer, "the id of a request in flight", post(HEAD + BUDGET, "work"));
        }
        transcript.assertRecorded("repeated-id");
    }

    @Test
    void requestsOnTooManyConnectionsAreRejectedAsRecorded() throws Exception {
        try (RawServer upstream = RawServer.answering(RawServer.SILENCE);
                Loopback balancer = before(upstream).sockets(128).start()) {
            List<Socket> clients = new ArrayList<>();
            for (int index = 0; index < 64; index++) {
                Socket client = balancer.connect();
                clients.add(client);
                ScriptedServer.write(client, post(HEAD.replace("id-1", "id-" + index) + BUDGET, "work"));
            }
            Set<Integer> statuses = new TreeSet<>();
            for (Socket client : clients) {
                String response = readResponse(client);
                statuses.add(Integer.parseInt(response.split(" ", 3)[1]));
                WireTranscript.assertOneOf("too-many-connections", response);
                client.close();
            }
            assertTrue(statuses.contains(503), "some are rejected: " + statuses);
        }
    }

    @Test
    void aBodyBeyondTheBudgetIsRejectedAsRecorded() throws Exception {
        BodyLimits small =
                new BodyLimits(true, 64 * 1024, 0, 0, 1_000_000, 30_000_000, 30_000_000, 1L << 20, 0, 0, 30_000_000);
        try (RawServer upstream = RawServer.answering(OK);
                Loopback balancer = before(upstream)
                        .bodies(small)
                        .setting("\"retry-after\":false", "\"retry-after\":true")
                        .start()) {
            exchange(balancer, "a body for which there is no room", post(HEAD + BUDGET, LONG_BODY));
        }
        transcript.assertRecorded("no-room-for-a-body");
    }
}
