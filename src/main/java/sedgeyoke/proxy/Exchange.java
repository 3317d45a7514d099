package sedgeyoke.proxy;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import sedgeyoke.policy.LoadBalancingPolicy.Request;

/** One client's request, from its arrival to its final answer and the end of its last attempt. */
final class Exchange {
    final Request request;
    final HttpMethod method;
    final String uri;
    /** The headers that go on to upstreams, the budget apart. */
    final HttpHeaders headers;

    final RequestBody body;
    /** Bytes of the body as its head said; negative where only its end tells. */
    final long length;

    final Reply reply;
    final List<Attempt> attempts = new ArrayList<>(1);
    long deadline;
    /** The attempt whose answer is being passed on, or that the body goes to in parts; it is the call's last one. */
    Attempt bound;

    Future<?> backstop;
    boolean answered;

    /** Where the final answer goes; used once. */
    interface Reply {
        /** Answers with the body of an upstream. */
        void served(String contentType, byte[] body);

        /** Begins an answer of an upstream that is passed on as it comes. */
        ResponseStream.Sink begin(ResponseStream.Head head, ResponseStream.Source source);

        /** Answers that trying again is harmless; {@code retryAfter} in microseconds, 0 for no advice. */
        void refused(long retryAfter);

        /** Answers that it failed, and promises nothing. */
        void failed();
    }

    Exchange(
            Request request,
            HttpMethod method,
            String uri,
            HttpHeaders headers,
            RequestBody body,
            long length,
            Reply reply) {
        this.request = request;
        this.method = method;
        this.uri = uri;
        this.headers = headers;
        this.body = body;
        this.length = length;
        this.reply = reply;
    }

    boolean attemptsEnded() {
        return attempts.stream().allMatch(a -> a.ended);
    }
}
