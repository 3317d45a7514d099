package sedgeyoke.drill.soak;

/**
 * Mistakes that are planted so that the judge can be judged: each breaks one rule, and a soak has to find it. They lie
 * in what the balancers are configured with or in what clients do, not in the program.
 */
enum Mistake {
    /** None. */
    NONE,
    /** Agents never tell their balancers anything, and it counts as known. */
    DRAINS_NOT_TOLD,
    /** Balancers take upstreams that start for warm ones. */
    NO_SLOW_START,
    /** Balancers end at SIGTERM without answering what they hold. */
    REQUESTS_LOST,
    /** Balancers take requests with an effect for harmless ones, and send them again. */
    EFFECTS_REPEATED,
    /** Clients leave, and their requests go out after that. */
    SENT_AFTER_DEPARTURE,
    /** Balancers take clients to have a second more than they have. */
    DEADLINES_TOO_LONG
}
