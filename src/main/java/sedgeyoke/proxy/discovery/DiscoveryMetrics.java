package sedgeyoke.proxy.discovery;

/** Counts calls to discovery and lists from it. Event loop only. */
public final class DiscoveryMetrics {
    private final long[] counts = new long[Event.values().length];

    /** The events that are counted; their labels are metric names. */
    public enum Event {
        /** A call ended without a valid list. */
        CALL_FAILED("discovery.failed"),
        /** A call got no complete answer in time, and discovery was called on another connection. */
        ANSWER_OVERDUE("discovery.overdue"),
        /** A complete list, or a list with changes, was accepted. */
        LIST_ACCEPTED("discovery.lists");

        private final String label;

        Event(String label) {
            this.label = label;
        }

        /** The name of the metric that counts the event. */
        public String label() {
            return label;
        }
    }

    /** Counts an event. */
    public void count(Event event) {
        counts[event.ordinal()]++;
    }

    /** How often the event has occurred. */
    public long value(Event event) {
        return counts[event.ordinal()];
    }
}
