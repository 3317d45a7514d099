package sedgeyoke.drill.soak;

/**
 * Mistakes that are planted to test the checker: each breaks one rule, and a soak has to find it. They lie in what the
 * balancers are configured with or in what clients do, not in the program.
 */
enum Mistake {
    /** None. */
    NONE,
    /** Agents never announce changes to their balancers, and these count as notified. */
    DRAINS_NOT_ANNOUNCED,
    /** Balancers treat upstreams in slow start as warm. */
    NO_SLOW_START,
    /** Balancers end at SIGTERM without answering what they have in flight. */
    REQUESTS_LOST,
    /** Balancers treat requests with an effect as safe, and retry them. */
    EFFECTS_REPEATED,
    /** Clients disconnect, and their requests are sent after that. */
    SENT_AFTER_DISCONNECT,
    /** Clients announce a second more than they have. */
    DEADLINES_TOO_LONG
}
