package sedgeyoke.model;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Detects that a node in slow start is overloaded: the work that arrived over a window exceeds a multiple of the node's
 * current capacity. The site's rules set the window and the multiple. Rejected work counts, too.
 */
final class OverloadDetector {
    /** Tolerance for random bursts, in requests of mean work. */
    private static final double SLACK_REQUESTS = 2;

    private final SiteModel site;
    private final Deque<Arrival> window = new ArrayDeque<>();
    private double windowWork;

    OverloadDetector(SiteModel site) {
        this.site = site;
    }

    private record Arrival(long atMicros, double work) {}

    /**
     * Adds work that arrives; returns the load over the window as a share of the load that overloads the node.
     *
     * @param warmth the node's current share of its full capacity, 0 to 1
     * @param capacity the full capacity, in seconds of work a second
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
