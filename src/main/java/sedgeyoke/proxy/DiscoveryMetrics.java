package sedgeyoke.proxy;

/** Counters of calls to discovery. To be used on the event loop. */
final class DiscoveryMetrics {
    private final long[] counts = new long[Event.values().length];

    /** What is counted; the labels are metric names that operators read. */
    enum Event {
        /** A call ended without a valid list. */
        CALL_FAILED("discovery.failed"),
        /** A call got no complete answer in time, and discovery was called on another connection. */
        ANSWER_OVERDUE("discovery.overdue"),
        /** A list with changes, or a complete one, was taken over. */
        LIST_ACCEPTED("discovery.lists");

        private final String label;

        Event(String label) {
            this.label = label;
        }

        String label() {
            return label;
        }
    }

    void count(Event event) {
        counts[event.ordinal()]++;
    }

    long value(Event event) {
        return counts[event.ordinal()];
    }
}
