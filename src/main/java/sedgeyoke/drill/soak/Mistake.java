package sedgeyoke.drill.soak;

/**
 * Mistakes that are planted to test the checker: each violates one invariant, and a soak must detect it. They are
 * planted in the configuration of balancers or in the clients, not in the program.
 */
enum Mistake {
    /** No mistake. */
    NONE,
    /** Discovery agents never announce changes to their balancers, which still count as notified. */
    DRAINS_NOT_ANNOUNCED,
    /** Balancers treat upstreams in slow start as warm. */
    NO_SLOW_START,
    /** Balancers exit at SIGTERM without completing requests in flight. */
    REQUESTS_LOST,
    /** Balancers treat unsafe requests as safe, and retry them. */
    EFFECTS_REPEATED,
    /** Clients send their requests after they have disconnected. */
    SENT_AFTER_DISCONNECT,
    /** Clients announce a budget that is a second longer than the time that they have. */
    DEADLINES_TOO_LONG
}
