package sedgeyoke.proxy.client;

/**
 * Measures how long connections may have waited in the listener's backlog because none were accepted: accepting was
 * paused for want of sockets, or the call failed. Clients count that time. Event loop only.
 */
final class AcceptDelay {
    private static final long NOT_BLOCKED = Long.MIN_VALUE;

    private long blockedSinceMicros = NOT_BLOCKED;

    /** No connection is accepted at this time. */
    void acceptingBlocked(long nowMicros) {
        if (blockedSinceMicros == NOT_BLOCKED) {
            blockedSinceMicros = nowMicros;
        }
    }

    /** A pass that accepts connections has found no more. */
    void backlogEmptied() {
        blockedSinceMicros = NOT_BLOCKED;
    }

    /** The longest that a connection which is accepted now can have waited. */
    long maxDelayMicros(long nowMicros) {
        return blockedSinceMicros == NOT_BLOCKED ? 0 : nowMicros - blockedSinceMicros;
    }
}
