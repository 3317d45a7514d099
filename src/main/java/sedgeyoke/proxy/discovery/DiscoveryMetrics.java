package sedgeyoke.proxy.discovery;

/** Counters of calls to discovery. To be used on the event loop. */
public final class DiscoveryMetrics {
    private final long[] counts = new long[Event.values().length];

    /** What is counted; the labels are metric names that operators read. */
    public enum Event {
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

        /** The name of its metric. */
        public String label() {
            return label;
        }
    }

    /** Counts an event. */
    public void count(Event event) {
        counts[event.ordinal()]++;
    }

    /** How often the event has happened. */
    public long value(Event event) {
        return counts[event.ordinal()];
    }
}
