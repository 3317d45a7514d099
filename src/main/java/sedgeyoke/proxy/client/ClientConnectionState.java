package sedgeyoke.proxy.client;

/** States of a client connection and the transitions between them; {@link ClientConnection} owns the state. */
enum ClientConnectionState {
    /** Nothing has been received yet. */
    NEW,
    /** A part of a request has been received. */
    READING,
    /** A request is in flight or has been rejected; its response has not begun. */
    IN_FLIGHT,
    /** A response is being written. */
    WRITING,
    /** The response is written; the next request may arrive. */
    IDLE,
    /** Our side is closed after the last response; further input is discarded. */
    CLOSING;

    /** Whether a request is in flight or its response is being written. */
    boolean isBusy() {
        return this == IN_FLIGHT || this == WRITING;
    }

    /** Whether the transition from this state to {@code next} is allowed. */
    boolean mayBecome(ClientConnectionState next) {
        switch (this) {
            case NEW:
            case IDLE:
                return next == READING || next == IN_FLIGHT || next == CLOSING;
            case READING:
                return next == IN_FLIGHT;
            case IN_FLIGHT:
                return next == WRITING;
            case WRITING:
                return next == IDLE || next == CLOSING;
            default:
                return false; // CLOSING is the final state
        }
    }
}
