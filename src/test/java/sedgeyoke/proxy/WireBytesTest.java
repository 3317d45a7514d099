package sedgeyoke.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sedgeyoke.body.BodyLimits;

/** All that a balancer sends to upstreams, clients, operators and discovery is byte for byte what was recorded. */
class WireBytesTest {
    private static final BodyLimits STREAMING =
            new BodyLimits(true, 64 * 1024, 8L << 20, 0, 1_000_000, 30_000_000, 30_000_000, 1L << 20, 0);
    /** Longer than what is buffered of a body. */
    private static final String LONG_BODY = "b".repeat(100_000);

    private static final String OK = RawServer.response(200, "done", "Content-Type: text/x-result");
    private static final String REJECTED = RawServer.response(503, "", "X-Rejected: 1");
    private static final String FAILED = RawServer.response(500, "broken");

    private static final String HEAD = "Host: origin.svc\r\nX-Call-Id: id-1\r\nX-Call-Class: order\r\n";
    private static final String BUDGET = "X-Budget-Ms: 1900\r\n";

    /** Name of the case, and what replaces which part of a valid request. */
    private static final String[][] MALFORMATIONS = {
        {"no id", "X-Call-Id: id-1\r\n", ""},
        {"two ids", "X-Call-Id: id-1\r\n", "X-Call-Id: id-1\r\nX-Call-Id: id-2\r\n"},
        {"an unknown class", "order", "nonesuch"},
        {"no class", "X-Call-Class: order\r\n", ""},
        {"no budget", BUDGET, ""},
        {"a budget that is not a number", "1900", "soon"},
        {"a negative budget", "1900", "-5"},
        {"late: no budget is left", "1900", "0"},
        {"a budget too large", "1900", "99999999999"},
        {"no idempotency key", "order", "update"},
        {"an invalid escape", "%20y", "%zz"},
        {"an unknown path", "/api", "/else"},
        {"another method", "POST", "DELETE"},
        {"another protocol", "HTTP/1.1", "HTTQ/9"},
        {"another version", "HTTP/1.1", "HTTP/2.0"},
        {"a body too large", "Content-Length: 4", "Content-Length: 70000"},
        {"two lengths", "Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked"},
        {"an unknown coding", "Content-Length: 4", "Transfer-Encoding: gzip"},
        {"another expectation", "Content-Length: 4", "Content-Length: 4\r\nExpect: a-reply"},
        {"a length that is not a number", "Content-Length: 4", "Content-Length: four"},
        {"headers too large", "Host: origin.svc", "Host: " + "h".repeat(10_000)},
        {"a line too long", "/api", "/" + "p".repeat(10_000)},
        {"a line without a name", "Host: origin.svc", ": origin.svc"}
    };

    @TempDir
    private Path folder;

    private final WireTranscript transcript = new WireTranscript();

    // ---- Helpers -------------------------------------------------------------------------------------

    private static Loopback.Setup before(RawServer... upstreams) {
        Loopback.Setup setup = Loopback.setup();
        for (int index = 0; index < upstreams.length; index++) {
            setup.upstream("u" + index, upstreams[index].address());
        }
        return setup;
    }

    private static String post(String headers, String body) {
        return "POST /api?obj=o1&x=%20y HTTP/1.1\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n"
                + body;
    }

    /** Sends a request on a new connection and adds the response; one that announces the end has to end it. */
    private void exchange(Loopback balancer, String name, String request) throws IOException {
        try (Socket client = balancer.connect()) {
            ScriptedServer.write(client, request);
            transcript.add(name, readResponse(client));
        }
    }

    private static String readResponse(Socket client) throws IOException {
        InputStream in = new BufferedInputStream(client.getInputStream());
        String response = RawMessages.read(in);
        if (response.toLowerCase(Locale.ROOT).contains("\r\nconnection: close\r\n")) {
            assertEquals(-1, in.read(), "the end of the connection");
            return response + "\r\n<end of the connection>";
        }
        return response;
    }

    private static void assertServed(Loopback balancer, String request) throws IOException {
        try (Socket client = balancer.connect()) {
            assertEquals(200, Loopback.ask(client, request).status());
        }
    }

    // ---- Upstreams -----------------------------------------------------------------------------------

    @Test
    void requestsToAnUpstream() throws Exception {
        try (RawServer upstream = RawServer.answering(OK);
                Loopback balancer = before(upstream).start()) {
            String get = "GET /api?obj=o1&x=%20y HTTP/1.1\r\n" + HEAD + BUDGET;
            List<String> names = List.of(
                    "read",
                    "with an idempotency key",
                    "without an idempotency key",
                    "with a caller, a content type and headers that stay behind",
                    "without a body",
                    "a chunked body",
                    "HTTP/1.0",
                    "a repeated request");
            List<String> sent = List.of(
                    get.replace("order", "read") + "\r\n",
                    post(HEAD.replace("order", "update") + "Idempotency-Key: k-1\r\n" + BUDGET, "work"),
                    post(HEAD + BUDGET, "work"),
                    post(
                            HEAD + BUDGET + "X-Caller: tenant-1\r\nContent-Type: text/x-work\r\nX-Call-Cost: 3\r\n"
                                    + "Accept: */*\r\nCookie: c=1\r\nConnection: X-Hop\r\nX-Hop: 1\r\n",
                            "work"),
                    post(HEAD + BUDGET, ""),
                    post(HEAD + BUDGET, "work")
                                    .replace("Content-Length: 4\r\n\r\nwork", "Transfer-Encoding: chunked\r\n\r\n")
                            + "4\r\nwork\r\n3\r\ning\r\n0\r\nX-Trailer: 1\r\n\r\n",
                    post(HEAD + BUDGET, "work").replace("HTTP/1.1", "HTTP/1.0"),
                    post(HEAD + BUDGET + "X-Again: 1\r\n", "work"));
            for (int index = 0; index < names.size(); index++) {
                assertServed(balancer, sent.get(index));
                transcript.add(names.get(index), upstream.requests.get(index));
            }
        }
        transcript.assertRecorded("upstream-requests");
    }

    @Test
    void retriesAtAnotherUpstream() throws Exception {
        try (RawServer first = RawServer.answering(REJECTED);
                RawServer second = RawServer.answering(REJECTED);
                Loopback balancer = before(first, second).start()) {
            exchange(
                    balancer, "rejected by each upstream until its deadline", post(HEAD + "X-Budget-Ms: 300\r\n", "a"));
            assertTrue(!first.requests.isEmpty() && !second.requests.isEmpty(), "there was a retry");
            Set<String> distinct = new TreeSet<>();
            first.requests.forEach(
                    request -> distinct.add(request.replaceAll("X-Budget-Ms: [0-9]+", "X-Budget-Ms: 0")));
            second.requests.forEach(
                    request -> distinct.add(request.replaceAll("X-Budget-Ms: [0-9]+", "X-Budget-Ms: 0")));
            distinct.forEach(request -> transcript.add("what the attempts look like", request));
        }
        transcript.assertRecorded("upstream-retries");
    }

    @Test
    void streamedBodies() throws Exception {
        String chunked = "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\nContent-Type: text/x-result\r\n\r\n"
                + Integer.toHexString(LONG_BODY.length()) + "\r\n" + LONG_BODY + "\r\n0\r\n"
                + "X-Checksum: 7\r\nContent-Length: 9\r\n\r\n";
        try (RawServer upstream = RawServer.answering(
                        OK, OK, RawServer.response(200, LONG_BODY, "Content-Type: text/x-result"), chunked);
                Loopback balancer = before(upstream).bodies(STREAMING).start()) {
            exchange(balancer, "response to a long request", post(HEAD + BUDGET, LONG_BODY));
            transcript.add("long request with a length", upstream.requests.get(0));
            exchange(
                    balancer,
                    "response to a long chunked request",
                    post(HEAD + BUDGET, "").replace("Content-Length: 0", "Transfer-Encoding: chunked")
                            + Integer.toHexString(LONG_BODY.length()) + "\r\n" + LONG_BODY + "\r\n0\r\n\r\n");
            transcript.add("long chunked request", upstream.requests.get(1));
            exchange(balancer, "long response with a length", post(HEAD + BUDGET, "work"));
            exchange(balancer, "long chunked response with trailers", post(HEAD + BUDGET, "work"));
            exchange(
                    balancer,
                    "larger than any body may be",
                    post(HEAD + BUDGET, "").replace("Content-Length: 0", "Content-Length: " + (2 << 20)));
        }
        transcript.assertRecorded("streamed-bodies");
    }

    // ---- Clients -------------------------------------------------------------------------------------

    @Test
    void responsesToClients() throws Exception {
        try (RawServer upstream = RawServer.answering(
                        OK, RawServer.response(200, ""), RawServer.response(200, "plain", "X-Load-Report: {}"), OK);
                Loopback balancer = before(upstream).start()) {
            exchange(balancer, "with a content type", post(HEAD + BUDGET, "work"));
            exchange(balancer, "without a body", post(HEAD + BUDGET, "work"));
            exchange(balancer, "without a content type", post(HEAD + BUDGET, "work"));
            exchange(balancer, "to a client that closes", post(HEAD + BUDGET + "Connection: close\r\n", "work"));
            exchange(balancer, "to HTTP/1.0", post(HEAD + BUDGET, "work").replace("HTTP/1.1", "HTTP/1.0"));
            exchange(
                    balancer,
                    "to HTTP/1.0 that stays",
                    post(HEAD + BUDGET + "Connection: keep-alive\r\n", "work").replace("HTTP/1.1", "HTTP/1.0"));
            exchange(balancer, "to a health check", "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
            try (Socket client = balancer.connect()) {
                ScriptedServer.write(client, post(HEAD + BUDGET + "Expect: 100-continue\r\n", "work"));
                InputStream in = new BufferedInputStream(client.getInputStream());
                transcript.add("to one that waits before it sends a body", RawMessages.read(in));
                transcript.add("and then", RawMessages.read(in));
            }
        }
        transcript.assertRecorded("client-responses");
    }

    @Test
    void rejectionsOfMalformedRequests() throws Exception {
        String good = post(HEAD + BUDGET, "work");
        List<String> names = new ArrayList<>();
        List<String> sent = new ArrayList<>();
        for (String[] replacement : MALFORMATIONS) {
            names.add(replacement[0]);
            sent.add(good.replace(replacement[1], replacement[2]));
        }
        try (RawServer upstream = RawServer.answering(OK);
                Loopback balancer = before(upstream).start()) {
            for (int index = 0; index < names.size(); index++) {
                exchange(balancer, names.get(index), sent.get(index));
            }
            exchange(balancer, "a request that never ends", good.substring(0, good.length() - 1));
            assertEquals(List.of(), upstream.requests, "no upstream gets any of them");
        }
        transcript.assertRecorded("malformed-requests");
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
    void rejectionsAndFailures() throws Exception {
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

    // ---- Overload and shutdown -----------------------------------------------------------------------

    @Test
    void tooManyConnections() throws Exception {
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
    void noRoomForABody() throws Exception {
        BodyLimits small = new BodyLimits(true, 64 * 1024, 0, 0, 1_000_000, 30_000_000, 30_000_000, 1L << 20, 0);
        try (RawServer upstream = RawServer.answering(OK);
                Loopback balancer = before(upstream)
                        .bodies(small)
                        .setting("\"retry-after\":false", "\"retry-after\":true")
                        .start()) {
            exchange(balancer, "a body for which there is no room", post(HEAD + BUDGET, LONG_BODY));
        }
        transcript.assertRecorded("no-room-for-a-body");
    }

    @Test
    void shutdown() throws Exception {
        try (RawServer upstream = RawServer.answering(OK);
                Loopback balancer = before(upstream).adminEndpoint(folder).start()) {
            Loopback.await("ready", () -> balancer.health() == 200);
            Socket incomplete = balancer.connect();
            Thread shutdown = new Thread(balancer.server::shutDown);
            shutdown.start();
            ScriptedServer.write(incomplete, "POST /api HTTP/1.1\r\n" + HEAD);
            Loopback.await("draining", () -> balancer.health() == 503);
            exchange(balancer, "health check", "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
            call(balancer, "health of the admin endpoint", "GET /admin/health HTTP/1.1\r\nHost: x\r\n\r\n");
            exchange(balancer, "a request on a new connection", post(HEAD + BUDGET, "work"));
            transcript.add("a request that is incomplete at the end", readResponse(incomplete));
            shutdown.join(10_000);
            assertTrue(!shutdown.isAlive());
        }
        transcript.assertRecorded("shutdown");
    }

    // ---- Operators and discovery ---------------------------------------------------------------------

    private void call(Loopback balancer, String name, String request) throws IOException {
        InetSocketAddress admin = balancer.adminAddress;
        try (Socket caller = new Socket(admin.getAddress(), admin.getPort())) {
            caller.setSoTimeout(10_000);
            ScriptedServer.write(caller, request);
            transcript.add(name, readResponse(caller));
        }
    }

    private static String adminCall(String method, String path, String body) {
        return method + " " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    @Test
    void adminEndpoint() throws Exception {
        try (RawServer upstream = RawServer.answering(OK);
                Loopback balancer = before(upstream).adminEndpoint(folder).start()) {
            Loopback.await("ready", () -> balancer.health() == 200);
            assertServed(balancer, post(HEAD + BUDGET, "work"));
            call(balancer, "health", adminCall("GET", "/admin/health", ""));
            call(balancer, "stats", adminCall("GET", "/admin/stats", ""));
            call(balancer, "cordon", adminCall("POST", "/admin/cordon", "u0"));
            call(balancer, "stats with a cordon", adminCall("GET", "/admin/stats", ""));
            call(balancer, "uncordon", adminCall("POST", "/admin/uncordon", "u0"));
            call(balancer, "cordon of an unknown upstream", adminCall("POST", "/admin/cordon", "nonesuch"));
            call(balancer, "cordon without an id", adminCall("POST", "/admin/cordon", ""));
            call(balancer, "another method for a change", adminCall("GET", "/admin/cordon", "u0"));
            call(balancer, "another method for health", adminCall("POST", "/admin/health", ""));
            call(balancer, "an unknown path", adminCall("GET", "/nonesuch", ""));
            call(balancer, "a malformed call", "GET /admin/health HTTQ/9\r\n\r\n");
        }
        transcript.assertRecorded("admin");
    }

    /** Changes to revision 2, then one failure, then a complete list. */
    private static String discoveryAnswer(String request) {
        if (!request.contains("from=")) {
            return RawServer.response(200, Loopback.list(1, true));
        } else if (request.contains("from=1&")) {
            return RawServer.response(200, Loopback.list(2, false));
        } else if (request.contains("from=2&hold_ms=80 ")) {
            return RawServer.response(503, "");
        }
        return request.contains("from=2&") ? RawServer.response(200, Loopback.list(5, true)) : RawServer.SILENCE;
    }

    @Test
    void requestsToDiscovery() throws Exception {
        try (RawServer discovery = new RawServer(WireBytesTest::discoveryAnswer);
                BalancerProcess balancer = BalancerProcess.start(
                        folder,
                        freePort(),
                        Loopback.configText(Loopback.SETTINGS, discovery.address(), 1024, Loopback.list(1, true)))) {
            balancer.awaitHealthy();
            addFirstCall(discovery, "the first call", "GET /catalog/members ");
            addFirstCall(discovery, "watch", "GET /catalog/members?from=1&hold_ms=80 ");
            addFirstCall(discovery, "watch after a change", "GET /catalog/members?from=2&hold_ms=80 ");
            addFirstCall(discovery, "without a wait, after a failure", "GET /catalog/members?from=2&hold_ms=0 ");
            addFirstCall(discovery, "watch after the failure", "GET /catalog/members?from=5&hold_ms=80 ");
        }
        transcript.assertRecorded("discovery");
    }

    /** A call that is overdue is made again, so that not all calls of a run are the same ones. */
    private void addFirstCall(RawServer discovery, String name, String start) throws InterruptedException {
        Loopback.await(name, () -> discovery.requests.stream().anyMatch(request -> request.startsWith(start)));
        transcript.add(
                name,
                discovery.requests.stream()
                        .filter(request -> request.startsWith(start))
                        .findFirst()
                        .orElseThrow());
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }
}
