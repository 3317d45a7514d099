package sedgeyoke.proxy.exchange;

import java.util.List;
import java.util.Locale;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.proxy.discovery.DiscoveryMetrics;

/** Counts the requests and attempts since the start of the process, and formats the metrics. Event loop only. */
public final class RequestMetrics {
    private static final String PREFIX = "edge_balancer.";

    private final List<String> classes;
    /** Indexed by {@link End}, then by class. */
    private final long[][] ends;

    private final long[] attempts;
    private final long[] outcomes = new long[Outcome.values().length];
    private final long[] withheld = new long[WithheldReason.values().length];

    /** How a request ended for its client; the labels are part of metric names. */
    public enum End {
        /** With the response of an upstream. */
        SERVED("served"),
        /** With a response after which a retry is safe. */
        REJECTED("refused"),
        /** With any other response, or one that was cut off. */
        FAILED("failed");

        private final String label;

        End(String label) {
            this.label = label;
        }
    }

    /** Creates counters for these request classes, in the order of their indexes. */
    public RequestMetrics(List<String> classes) {
        this.classes = classes;
        this.ends = new long[End.values().length][classes.size()];
        this.attempts = new long[classes.size()];
    }

    /** Counts the end of a request. */
    public void ended(int classIndex, End end) {
        ends[end.ordinal()][classIndex]++;
    }

    /** Counts an attempt that was written completely. */
    void attempted(int classIndex) {
        attempts[classIndex]++;
    }

    /** Counts the end of an attempt, written or not. */
    void attemptEnded(Outcome outcome) {
        outcomes[outcome.ordinal()]++;
    }

    /** Counts an attempt that was not written. */
    public void withheld(WithheldReason reason) {
        withheld[reason.ordinal()]++;
    }

    /** All metrics, one per line, in the format of statsd: counters of type {@code c}, gauges of type {@code g}. */
    public String text(int inFlight, int upstreamsKnown, int upstreamsExcluded, DiscoveryMetrics discovery) {
        StringBuilder text = new StringBuilder();
        for (int classIndex = 0; classIndex < classes.size(); classIndex++) {
            for (End end : End.values()) {
                line(text, end.label + '.' + classes.get(classIndex), ends[end.ordinal()][classIndex], 'c');
            }
            line(text, "attempts." + classes.get(classIndex), attempts[classIndex], 'c');
        }
        for (Outcome outcome : Outcome.values()) {
            line(text, "attempt_ends." + outcome.name().toLowerCase(Locale.ROOT), outcomes[outcome.ordinal()], 'c');
        }
        for (WithheldReason reason : WithheldReason.values()) {
            line(text, "withheld." + reason.label(), withheld[reason.ordinal()], 'c');
        }
        for (DiscoveryMetrics.Event event : DiscoveryMetrics.Event.values()) {
            line(text, event.label(), discovery.value(event), 'c');
        }
        line(text, "in_flight", inFlight, 'g');
        line(text, "upstreams_known", upstreamsKnown, 'g');
        line(text, "upstreams_excluded", upstreamsExcluded, 'g');
        return text.toString();
    }

    private static void line(StringBuilder text, String name, long value, char type) {
        text.append(PREFIX)
                .append(name)
                .append(':')
                .append(value)
                .append('|')
                .append(type)
                .append('\n');
    }
}
