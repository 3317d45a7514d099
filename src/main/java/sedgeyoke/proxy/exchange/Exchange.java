package sedgeyoke.proxy.exchange;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import sedgeyoke.policy.LoadBalancingPolicy.Request;
import sedgeyoke.proxy.common.ReadBarrier;

/**
 * Holds the state of one client's request, from its arrival to its response and the end of its last attempt. Event loop
 * only.
 */
public final class Exchange {
    /** The content length of a body whose length is not declared in the head. */
    public static final long UNKNOWN_LENGTH = -1;

    final Request request;
    final HttpMethod method;
    final String uri;
    /** The headers that are forwarded to upstreams, without the time budget. */
    final HttpHeaders headers;

    final RequestBody body;
    /** The body length in bytes that the head declares; {@link #UNKNOWN_LENGTH} if it declares none. */
    final long contentLength;

    final Reply reply;
    /** How long ago the client sent the request, as far as its connection can tell. */
    final long waitedMicros;
    /** Whether the request is the first one on its connection. */
    final boolean onNewConnection;

    final List<Attempt> attempts = new ArrayList<>(1);
    /** When the client stops waiting, in microseconds of the policy's clock. */
    long deadlineMicros;
    /** The deadline as long as part of the request has not arrived. */
    long uploadDeadlineMicros;
    /** The attempt whose request or response body is streamed; no other attempt may follow. Null if there is none. */
    Attempt streamingAttempt;
    /** Ends the exchange shortly before its deadline; null until a deadline is set. */
    ReadBarrier.Timer deadlineTimer;
    /** Whether no response has to be sent any more: one was sent or has begun, or the client has disconnected. */
    boolean answered;

    /** Sends the response to the client. Exactly one of these methods is called, once. */
    public interface Reply {
        /** Sends a complete response of an upstream. */
        void complete(String contentType, byte[] body);

        /** Begins to stream a response of an upstream. */
        ResponseStream.Sink begin(ResponseStream.Head head, ResponseStream.Source source);

        /** Responds that the request was not executed, with the status of the reason; 0 for no Retry-After. */
        void rejected(RejectionReason reason, long retryAfterMicros);

        /** Responds that the request failed; it may have been executed or not. */
        void failed();
    }

    /** Creates an exchange without attempts; its deadline is set when it is accepted. */
    public Exchange(
            Request request,
            HttpMethod method,
            String uri,
            HttpHeaders headers,
            RequestBody body,
            long contentLength,
            long waitedMicros,
            boolean onNewConnection,
            Reply reply) {
        this.request = request;
        this.method = method;
        this.uri = uri;
        this.headers = headers;
        this.body = body;
        this.contentLength = contentLength;
        this.waitedMicros = waitedMicros;
        this.onNewConnection = onNewConnection;
        this.reply = reply;
    }

    boolean allAttemptsEnded() {
        return attempts.stream().allMatch(attempt -> attempt.ended);
    }

    /** Whether an upstream may have executed the request. */
    boolean mayHaveRun() {
        return attempts.stream().anyMatch(attempt -> attempt.mayHaveRun);
    }

    /** The request as the policy sees it. */
    public Request request() {
        return request;
    }

    /** The method that is forwarded. */
    public HttpMethod method() {
        return method;
    }

    /** Path and query that are forwarded. */
    public String uri() {
        return uri;
    }

    /** The headers that are forwarded to upstreams, without the time budget. */
    public HttpHeaders headers() {
        return headers;
    }

    /** The body of the request. */
    public RequestBody body() {
        return body;
    }

    /** The body length in bytes that the head declares; {@link #UNKNOWN_LENGTH} if it declares none. */
    public long contentLength() {
        return contentLength;
    }

    /** Whether no response has to be sent any more: one was sent or has begun, or the client has disconnected. */
    public boolean answered() {
        return answered;
    }
}
