package sedgeyoke.proxy.client;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import sedgeyoke.policy.LoadBalancingPolicy.Request;
import sedgeyoke.proxy.core.ProxyCore;
import sedgeyoke.proxy.exchange.Exchange;
import sedgeyoke.proxy.exchange.RejectionReason;
import sedgeyoke.proxy.exchange.RequestBody;

/**
 * Decides whether each request of one connection is submitted to {@link ProxyCore}: by its head, before any of its body
 * is buffered, and again when its turn has come. Event loop only.
 */
final class RequestAdmission {
    /** For the log: a request whose id is not known, such as a health check. */
    private static final String NO_ID = "without an id";

    private final HttpFrontend frontend;
    private final ClientConnections connections;
    private final ProxyCore core;
    private final RequestParser parser;
    private final ResponseWriter responses;

    /** The valid request whose rest is still being received; null if there is none, and for a health check. */
    private Request validated;
    /** How long the connection may have waited to be accepted; deducted from the time budget of its first request. */
    private long acceptDelayMicros;
    /** Whether no request has been submitted yet. */
    private boolean firstRequest = true;

    RequestAdmission(
            HttpFrontend frontend,
            ClientConnections connections,
            ProxyCore core,
            RequestParser parser,
            ResponseWriter responses) {
        this.frontend = frontend;
        this.connections = connections;
        this.core = core;
        this.parser = parser;
        this.responses = responses;
    }

    /** Called when the connection is accepted, with the longest time that it may have waited for that. */
    void connectionAccepted(long waitedMicros) {
        acceptDelayMicros = waitedMicros;
    }

    /** Checks the head of a request before its body is read. Returns the rejection, or null if the request is valid. */
    RequestValidator.Rejection validate(HttpRequest head) {
        try {
            validated = parser.parse(head);
            return null;
        } catch (InvalidRequestException e) {
            return new RequestValidator.Rejection(e.reason(), e.getMessage());
        }
    }

    /** Submits the next validated request, of which a part was received at {@code receivedMicros}, or rejects it. */
    void admit(HttpRequest head, RequestBody body, long receivedMicros) {
        responses.clientKeepsAlive(HttpUtil.isKeepAlive(head));
        if (RequestParser.isHealthCheck(head)) {
            responses.health(frontend.isHealthy());
            return;
        }
        Request request = takeValidated();
        if (connections.mustReject()) {
            responses.rejectUnsubmitted(RejectionReason.SOCKETS_SCARCE, request);
            return;
        }
        try {
            parser.requireNew(request.id()); // another connection may have sent this id since the head was validated
            submit(request, head, body, receivedMicros);
        } catch (InvalidRequestException e) {
            responses.rejectWithText(e.reason(), e.getMessage(), request.id());
        }
    }

    private void submit(Request request, HttpRequest head, RequestBody body, long receivedMicros) {
        responses.submit(new Exchange(
                request,
                head.method(),
                head.uri(),
                RequestParser.forwardedHeaders(head.headers()),
                body,
                HttpUtil.getContentLength(head, Exchange.UNKNOWN_LENGTH),
                core.now() - receivedMicros + (firstRequest ? acceptDelayMicros : 0),
                firstRequest,
                responses));
        firstRequest = false;
    }

    /** Rejects the next validated request because the budget for streamed bodies is exhausted. */
    void rejectForLackOfBodyRoom() {
        Request rejected = takeValidated();
        responses.expectResponse();
        if (rejected == null) { // a health check
            responses.rejectWithText(RejectionReason.BODY_BUDGET_EXHAUSTED, "no memory for the body", NO_ID);
        } else {
            responses.rejectUnsubmitted(RejectionReason.BODY_BUDGET_EXHAUSTED, rejected);
        }
    }

    /** For the log: the id of the request whose rest is still being received. */
    String validatedId() {
        return validated == null ? NO_ID : validated.id();
    }

    private Request takeValidated() {
        Request request = validated;
        validated = null;
        return request;
    }

    /** Discards the validated request, which will not be submitted. */
    void discardValidated() {
        validated = null;
    }
}
