package sedgeyoke.model;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Detects that a node in slow start is overloaded: it was sent more than a multiple of its present capacity over a
 * window, both of which the site's rules set. All work that arrives counts, rejected work too.
 */
final class OverloadDetector {
    /** Tolerance for chance, in requests of mean work. */
    private static final double SLACK_REQUESTS = 2;

    private final SiteModel site;
    private final Deque<Arrival> window = new ArrayDeque<>();
    private double windowWork;

    OverloadDetector(SiteModel site) {
        this.site = site;
    }

    private record Arrival(long atMicros, double work) {}

    /**
     * Adds work that arrives and returns the load over the window as a share of what overloads the node.
     *
     * @param warmth the share of its capacity that the node has now
     * @param capacity its full capacity
     */
    double add(double work, long nowMicros, double warmth, double capacity) {
        window.add(new Arrival(nowMicros, work));
        windowWork += work;
        long windowMicros = site.rules().overloadWindowMs() * 1_000;
        while (window.peek().atMicros() <= nowMicros - windowMicros) {
            windowWork -= window.poll().work();
        }
        double budget = site.rules().overloadMultiple() * warmth * capacity * windowMicros / 1e6
                + SLACK_REQUESTS * site.meanWork();
        return windowWork / budget;
    }

    void clear() {
        window.clear();
        windowWork = 0;
    }
}
