package sedgeyoke.drill;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import sedgeyoke.model.InvariantChecker;
import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.standin.OrderNode;
import sedgeyoke.standin.Site;

/**
 * The whole thing on loopback: discovery, order nodes of unlike speed, three balancers and their clients. On the way
 * one node drains and another restarts cold.
 */
public final class DemoRun {
    private static final int NODES = 9;
    private static final int BALANCERS = 3;
    private static final double LOAD = 0.6;
    private static final double[] ZONE_SHARE = {0.45, 0.25, 0.3};
    private static final String DRAINS = "n2";
    private static final String RESTARTS = "n4";
    private static final String CLEAR = "\033[H\033[2J";

    private final int seconds;
    private final long seed;
    private final boolean live;
    private final PrintWriter out;
    private String event = "";

    /** {@code live} redraws a table in place; else each second gives a line. */
    public DemoRun(int seconds, long seed, boolean live, PrintWriter out) {
        this.seconds = seconds;
        this.seed = seed;
        this.live = live;
        this.out = out;
    }

    /** Plays it and prints the summary; returns what clients and nodes saw. */
    public InvariantChecker.Summary run() throws IOException, InterruptedException {
        try (Site site = new Site(Sites.orders(NODES), ZONE_SHARE, seed)) {
            List<InProcessBalancer> balancers = new ArrayList<>();
            for (int i = 0; i < BALANCERS; i++) {
                balancers.add(new InProcessBalancer(site, "b" + (i + 1), i, i, BALANCERS, seed + i));
            }
            Thread.sleep(500); // discovery's first lists
            site.startClients(LOAD * site.spec().capacity());
            for (int second = 1; second <= seconds; second++) {
                script(site, second);
                Thread.sleep(1_000);
                show(site, balancers, second);
            }
            site.stopClients();
            InvariantChecker.Summary summary = site.summary();
            balancers.forEach(InProcessBalancer::close);
            conclude(site, summary);
            return summary;
        }
    }

    private void script(Site site, int second) {
        if (second == Math.max(2, seconds / 3)) {
            site.injectFault(DRAINS, Site.Fault.DRAIN);
            event = DRAINS + " drains";
        } else if (second == Math.max(3, seconds / 2)) {
            site.injectFault(RESTARTS, Site.Fault.RESTART);
            event = RESTARTS + " restarts cold";
        }
    }

    private void show(Site site, List<InProcessBalancer> balancers, int second) {
        InvariantChecker.Summary now = site.summary();
        String head = String.format(
                Locale.ROOT,
                "%3d s  service %.3f  p50 %.0f ms  p99 %.0f ms  answers %s%s",
                second,
                now.service(),
                now.p50Ms(),
                now.p99Ms(),
                now.answers(),
                event.isEmpty() ? "" : "  (" + event + ")");
        if (!live) {
            out.println(head);
            out.flush();
            return;
        }
        Map<String, double[]> weights = new HashMap<>();
        for (InProcessBalancer b : balancers) {
            for (LoadBalancingPolicy.UpstreamStatus s : b.summary().upstreams()) {
                double[] sum = weights.computeIfAbsent(s.id(), id -> new double[2]);
                sum[0] += s.weight() / balancers.size();
                sum[1] += s.inFlight();
            }
        }
        out.print(CLEAR);
        out.println(head);
        out.println();
        out.println("node   zone       speed  weight  in flight  utilisation  state");
        for (OrderNode n : site.nodes()) {
            double[] seen = weights.getOrDefault(n.spec().id(), new double[2]);
            out.println(String.format(
                    Locale.ROOT,
                    "%-6s %-10s %5.1f  %6.2f  %9.0f  %11.2f  %s",
                    n.spec().id(),
                    site.spec().zones().get(n.spec().zone()),
                    n.spec().capacity(),
                    seen[0],
                    seen[1],
                    site.ask(n.model()::utilisation),
                    site.ask(n.model()::state)));
        }
        out.flush();
    }

    private void conclude(Site site, InvariantChecker.Summary summary) {
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
                Locale.ROOT, "coldest moment: %.2f of what makes a node fall over", summary.warmUpPeak()));
        if (summary.ruleViolations() == 0) {
            out.println("all four rules kept");
        } else {
            site.checker().violations().forEach(out::println);
            out.println("RULES BROKEN: " + summary.violations());
        }
        out.flush();
    }
}
