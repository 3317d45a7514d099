package sedgeyoke.proxy.client;

import sedgeyoke.proxy.exchange.RejectionReason;

/** Thrown for a request that cannot be served. The message is the text of the response to the client. */
final class InvalidRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    private final RejectionReason reason;

    /** Has no stack trace: clients can cause this exception at any rate, so it must be cheap. */
    InvalidRequestException(RejectionReason reason, String message) {
        super(message, null, false, false);
        this.reason = reason;
    }

    /** Why the request cannot be served; determines the status of the response. */
    RejectionReason reason() {
        return reason;
    }
}
