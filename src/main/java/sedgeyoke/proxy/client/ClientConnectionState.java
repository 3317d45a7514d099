package sedgeyoke.proxy.client;

/** Names the states of a client's connection, and the transitions; {@link ClientConnection} owns the state. */
enum ClientConnectionState {
    /** Nothing has been received yet. */
    NEW,
    /** A part of a request has been received. */
    READING,
    /** A request is in flight, or is rejected; its response has not begun. */
    IN_FLIGHT,
    /** A response is being written. */
    WRITING,
    /** The response is written, and the next request may come. */
    IDLE,
    /** Our side is closed after the last response; whatever is still received is discarded. */
    CLOSING;

    /** Whether a request is in flight or its response is being written. */
    boolean isBusy() {
        return this == IN_FLIGHT || this == WRITING;
    }

    /** Whether the transition from this state to {@code next} exists. */
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
                return false; // a connection that closes stays so until its channel is closed
        }
    }
}
