package sedgeyoke.proxy.client;

/**
 * Measures how long connections may have waited in the listener's backlog, because accepting was paused for lack of
 * sockets or the accept call failed. Clients count this time towards the time budget of a request. Event loop only.
 */
final class AcceptDelay {
    private static final long NOT_BLOCKED = Long.MIN_VALUE;

    private long blockedSinceMicros = NOT_BLOCKED;

    /** Records that no connection can be accepted at this time. */
    void acceptingBlocked(long nowMicros) {
        if (blockedSinceMicros == NOT_BLOCKED) {
            blockedSinceMicros = nowMicros;
        }
    }

    /** Records that the backlog is empty: accepting has found no more connections. */
    void backlogEmptied() {
        blockedSinceMicros = NOT_BLOCKED;
    }

    /** The longest time that a connection accepted now may have waited. */
    long maxDelayMicros(long nowMicros) {
        return blockedSinceMicros == NOT_BLOCKED ? 0 : nowMicros - blockedSinceMicros;
    }
}
