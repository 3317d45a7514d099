package sedgeyoke.simulator;

/** The events of the wire. */
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

    /** The kind with a name on the wire, or null for an unknown one. */
    static EventKind byWireName(String name) {
        for (EventKind kind : ALL) {
            if (kind.wireName.equals(name)) {
                return kind;
            }
        }
        return null;
    }
}
