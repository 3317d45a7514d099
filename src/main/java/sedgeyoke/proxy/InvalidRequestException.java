package sedgeyoke.proxy;

import io.netty.handler.codec.http.HttpResponseStatus;

/** A request that cannot be served; its message is the text of the response to the client. */
final class InvalidRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient HttpResponseStatus status;

    /** Without a stack trace: clients cause it, and it must be cheap. */
    InvalidRequestException(HttpResponseStatus status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    /** The status of the response. */
    HttpResponseStatus status() {
        return status;
    }
}
