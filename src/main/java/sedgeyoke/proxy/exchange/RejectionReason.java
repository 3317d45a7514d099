package sedgeyoke.proxy.exchange;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * The reason why a request was rejected, and the status that its client gets. Valid and incomplete requests were not
 * executed, or can be retried safely. A retry of an invalid request gets the same response.
 */
public enum RejectionReason {
    // ---- Valid requests; counted by the metrics 'refused' ---------------------------------------------

    /** The policy sheds load, or sees no upstream that could respond in time. */
    POLICY_DECISION(HttpResponseStatus.SERVICE_UNAVAILABLE),
    /** As many exchanges are open as the settings allow. */
    TOO_MANY_EXCHANGES(HttpResponseStatus.SERVICE_UNAVAILABLE),
    /** The process is shutting down, and a response might not be sent before it is killed. */
    SHUTDOWN_TOO_NEAR(HttpResponseStatus.SERVICE_UNAVAILABLE),
    /** The process is about to be killed while the exchange is still open. */
    SHUTDOWN_BEFORE_RESPONSE(HttpResponseStatus.SERVICE_UNAVAILABLE),
    /** The deadline of the client is near, and no upstream has executed the request. */
    DEADLINE_NEAR(HttpResponseStatus.SERVICE_UNAVAILABLE),
    /** The policy threw an exception while it handled an event of the exchange. */
    POLICY_FAULT(HttpResponseStatus.SERVICE_UNAVAILABLE),
    /** Code other than the policy threw an exception while it handled the request. */
    INTERNAL_FAULT(HttpResponseStatus.SERVICE_UNAVAILABLE),
    /** A part of the body was forwarded and is no longer buffered, so that no further attempt is possible. */
    BODY_NOT_REPEATABLE(HttpResponseStatus.SERVICE_UNAVAILABLE),
    /** Almost no sockets are left for further requests. */
    SOCKETS_SCARCE(HttpResponseStatus.SERVICE_UNAVAILABLE),
    /** The memory budget of streamed bodies has no room for another one. */
    BODY_BUDGET_EXHAUSTED(HttpResponseStatus.SERVICE_UNAVAILABLE),

    // ---- Incomplete requests; not counted -------------------------------------------------------------

    /** The rest of the request has not arrived in time, or arrives too slowly. */
    REQUEST_TOO_SLOW(HttpResponseStatus.REQUEST_TIMEOUT),
    /** The process is shutting down, and the request is still incomplete. */
    SHUTDOWN_BEFORE_COMPLETE(HttpResponseStatus.SERVICE_UNAVAILABLE),

    // ---- Invalid requests; not counted; the connection is closed, as the end of the request is unknown ----

    /** The input is not an HTTP message, or its length is ambiguous. */
    MALFORMED_MESSAGE(HttpResponseStatus.BAD_REQUEST),
    /** The header fields are longer than the decoder allows. */
    HEADERS_TOO_LARGE(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE),
    /** The request line is longer than the decoder allows. */
    URI_TOO_LONG(HttpResponseStatus.REQUEST_URI_TOO_LONG),
    /** The body is longer than the limit. */
    BODY_TOO_LARGE(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE),
    /** The version is neither HTTP/1.0 nor HTTP/1.1. */
    UNSUPPORTED_VERSION(HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED),
    /** The client expects something other than 100-continue. */
    UNSUPPORTED_EXPECTATION(HttpResponseStatus.EXPECTATION_FAILED),
    /** A transfer coding other than chunked is used. */
    UNSUPPORTED_TRANSFER_CODING(HttpResponseStatus.BAD_REQUEST),
    /** The path is neither that of the API nor that of the health check. */
    UNKNOWN_PATH(HttpResponseStatus.NOT_FOUND),
    /** The method is neither GET nor POST. */
    UNSUPPORTED_METHOD(HttpResponseStatus.METHOD_NOT_ALLOWED),
    /** The query cannot be decoded. */
    INVALID_QUERY(HttpResponseStatus.BAD_REQUEST),
    /** A required header field is missing or has an invalid value. */
    INVALID_HEADER(HttpResponseStatus.BAD_REQUEST),
    /** A request with the same id is open, or may have been executed. */
    DUPLICATE_ID(HttpResponseStatus.BAD_REQUEST);

    private final int statusCode;

    RejectionReason(HttpResponseStatus status) {
        this.statusCode = status.code();
    }

    /** The status of the response. */
    public HttpResponseStatus status() {
        return HttpResponseStatus.valueOf(statusCode);
    }
}
