package sedgeyoke.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Requests to upstreams and the streamed bodies of both directions are byte for byte what was recorded. */
class UpstreamWireBytesTest extends WireBytesTestBase {
    @Test
    void requestsToAnUpstream() throws Exception {
        try (RawServer upstream = RawServer.answering(OK)) {
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
                try (Loopback balancer = before(upstream).start()) { // the id is the same in all
                    assertServed(balancer, sent.get(index));
                }
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
                OK, OK, RawServer.response(200, LONG_BODY, "Content-Type: text/x-result"), chunked)) {
            exchangeAlone(
                    before(upstream).bodies(STREAMING), "response to a long request", post(HEAD + BUDGET, LONG_BODY));
            transcript.add("long request with a length", upstream.requests.get(0));
            exchangeAlone(
                    before(upstream).bodies(STREAMING),
                    "response to a long chunked request",
                    post(HEAD + BUDGET, "").replace("Content-Length: 0", "Transfer-Encoding: chunked")
                            + Integer.toHexString(LONG_BODY.length()) + "\r\n" + LONG_BODY + "\r\n0\r\n\r\n");
            transcript.add("long chunked request", upstream.requests.get(1));
            exchangeAlone(
                    before(upstream).bodies(STREAMING), "long response with a length", post(HEAD + BUDGET, "work"));
            exchangeAlone(
                    before(upstream).bodies(STREAMING),
                    "long chunked response with trailers",
                    post(HEAD + BUDGET, "work"));
            exchangeAlone(
                    before(upstream).bodies(STREAMING),
                    "larger than any body may be",
                    post(HEAD + BUDGET, "").replace("Content-Length: 0", "Content-Length: " + (2 << 20)));
        }
        transcript.assertRecorded("streamed-bodies");
    }
}
