package sedgeyoke.simulator;

/** The kinds of events that the simulator sends, with their names in its JSON format. */
enum EventKind {
    CREATE("create"),
    DESTROY("destroy"),
    ENDPOINTS("sync"),
    REQUEST("work-item"),
    ATTEMPT_ENDED("answer"),
    HEALTH_CHECK_COMPLETED("ping-result"),
    CLIENT_DISCONNECTED("client-gone"),
    RESPONSE_STARTED("opened"),
    TIMER("reminder"),
    PEER_MESSAGE("whisper");

    private static final EventKind[] ALL = values();

    private final String wireName;

    EventKind(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the kind with a wire name, or null if the name is unknown. */
    static EventKind byWireName(String name) {
        for (EventKind kind : ALL) {
            if (kind.wireName.equals(name)) {
                return kind;
            }
        }
        return null;
    }
}
