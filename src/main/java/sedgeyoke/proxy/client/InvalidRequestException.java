package sedgeyoke.proxy.client;

import sedgeyoke.proxy.exchange.RejectionReason;

/** A request that cannot be served; its message is the text of the response to the client. */
final class InvalidRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    private final RejectionReason reason;

    /** Without a stack trace: clients cause it, and it must be cheap. */
    InvalidRequestException(RejectionReason reason, String message) {
        super(message, null, false, false);
        this.reason = reason;
    }

    /** Why it cannot be served, which says the status of the response. */
    RejectionReason reason() {
        return reason;
    }
}
