package sedgeyoke.drill;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import sedgeyoke.model.InvariantChecker;
import sedgeyoke.standin.Site;

/**
 * Runs a site on loopback: discovery, order nodes of different speed, three balancers and their clients. During the
 * run, one node drains and another restarts cold.
 */
public final class DemoRun {
    private static final int NODES = 9;
    private static final int BALANCERS = 3;
    private static final double LOAD = 0.6;
    private static final double[] ZONE_SHARES = {0.45, 0.25, 0.3};
    private static final String DRAINED_NODE = "n2";
    private static final String RESTARTED_NODE = "n4";
    private static final int DISCOVERY_MS = 500;

    private final int seconds;
    private final long seed;
    private final boolean redraw;
    private final PrintWriter out;
    private String event = "";

    /** If {@code redraw} is true, a table is redrawn in place; otherwise a line is printed each second. */
    public DemoRun(int seconds, long seed, boolean redraw, PrintWriter out) {
        this.seconds = seconds;
        this.seed = seed;
        this.redraw = redraw;
        this.out = out;
    }

    /** Runs the demo and prints a summary; returns what clients and nodes observed. */
    public InvariantChecker.Summary run() throws IOException, InterruptedException {
        try (Site site = new Site(Sites.orders(NODES), ZONE_SHARES, seed)) {
            List<InProcessBalancer> balancers = new ArrayList<>();
            for (int i = 0; i < BALANCERS; i++) {
                balancers.add(new InProcessBalancer(site, "b" + (i + 1), i, i, BALANCERS, seed + i));
            }
            DemoTable table = new DemoTable(site, balancers, out);
            Thread.sleep(DISCOVERY_MS); // until the first endpoint lists have arrived
            site.startClients(LOAD * site.spec().capacity());
            for (int second = 1; second <= seconds; second++) {
                injectFaults(site, second);
                Thread.sleep(1_000);
                printProgress(site, table, second);
            }
            site.stopClients();
            InvariantChecker.Summary summary = site.summary();
            balancers.forEach(InProcessBalancer::close);
            printSummary(site, summary);
            return summary;
        }
    }

    private void injectFaults(Site site, int second) {
        if (second == Math.max(2, seconds / 3)) {
            site.injectFault(DRAINED_NODE, Site.Fault.DRAIN);
            event = DRAINED_NODE + " drains";
        } else if (second == Math.max(3, seconds / 2)) {
            site.injectFault(RESTARTED_NODE, Site.Fault.RESTART);
            event = RESTARTED_NODE + " restarts cold";
        }
    }

    private void printProgress(Site site, DemoTable table, int second) {
        InvariantChecker.Summary summary = site.summary();
        String line = String.format(
                Locale.ROOT,
                "%3d s  service %.3f  p50 %.0f ms  p99 %.0f ms  answers %s%s",
                second,
                summary.service(),
                summary.p50Ms(),
                summary.p99Ms(),
                summary.answers(),
                event.isEmpty() ? "" : "  (" + event + ")");
        if (redraw) {
            table.redraw(line);
        } else {
            out.println(line);
            out.flush();
        }
    }

    private void printSummary(Site site, InvariantChecker.Summary summary) {
        out.println();
        out.println(String.format(
                Locale.ROOT,
                "%d requests, service %.3f, p50 %.0f ms, p99 %.0f ms, answers %s",
                summary.requests(),
                summary.service(),
                summary.p50Ms(),
                summary.p99Ms(),
                summary.answers()));
        out.println(String.format(
                Locale.ROOT,
                "highest load on a node in slow start: %.2f of the load that overloads it",
                summary.warmUpPeak()));
        if (summary.ruleViolations() == 0) {
            out.println("all four rules kept");
        } else {
            site.checker().violationMessages().forEach(out::println);
            out.println("RULES BROKEN: " + summary.violations());
        }
        out.flush();
    }
}
