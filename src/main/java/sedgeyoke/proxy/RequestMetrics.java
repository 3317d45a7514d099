package sedgeyoke.proxy;

import java.util.List;

/** Counts of one process for operators, by class of request. All begin at 0 with it. To be used on one thread. */
final class RequestMetrics {
    private static final String PREFIX = "edge_balancer.";

    private final List<String> classes;
    private final long[][] ends;
    private final long[] attempts;

    /** How a request ended, as its client saw it. */
    enum End {
        /** Answered with what an upstream made. */
        SERVED,
        /** Told that trying again is harmless. */
        REFUSED,
        /** Any other answer, or one that was cut. */
        FAILED;

        private final String label = name().toLowerCase(java.util.Locale.ROOT);
    }

    RequestMetrics(List<String> classes) {
        this.classes = classes;
        this.ends = new long[End.values().length][classes.size()];
        this.attempts = new long[classes.size()];
    }

    void ended(int classIndex, End how) {
        ends[how.ordinal()][classIndex]++;
    }

    /** An attempt is written whole. */
    void attempted(int classIndex) {
        attempts[classIndex]++;
    }

    /** All figures, one a line, in the form of statsd (DAYS, "Numbers"): a count is {@code c}, a gauge {@code g}. */
    String text(int inFlight, int known, int excluded) {
        StringBuilder text = new StringBuilder();
        for (int c = 0; c < classes.size(); c++) {
            for (End how : End.values()) {
                line(text, how.label + '.' + classes.get(c), ends[how.ordinal()][c], 'c');
            }
            line(text, "attempts." + classes.get(c), attempts[c], 'c');
        }
        line(text, "in_flight", inFlight, 'g');
        line(text, "upstreams_known", known, 'g');
        line(text, "upstreams_excluded", excluded, 'g');
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
