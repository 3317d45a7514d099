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
    /** A balancer is killed, and what it held counts as lost. */
    REQUESTS_LOST,
    /** Balancers take requests with an effect for harmless ones, and send them again. */
    EFFECTS_REPEATED,
    /** Clients leave, and their balancers do not learn it. */
    DEPARTURES_NOT_SEEN,
    /** Balancers take clients to have a second more than they have. */
    DEADLINES_TOO_LONG
}
