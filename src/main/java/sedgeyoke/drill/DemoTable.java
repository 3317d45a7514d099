package sedgeyoke.drill;

import java.io.PrintWriter;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.standin.OrderNode;
import sedgeyoke.standin.Site;

/** The table of nodes that a demo redraws in a terminal: each node's true state, next to what balancers know of it. */
final class DemoTable {
    private static final String CLEAR_SCREEN = "\033[H\033[2J";
    private static final String COLUMNS = "node   zone       speed  weight  in flight  utilisation  state";

    private final Site site;
    private final List<InProcessBalancer> balancers;
    private final PrintWriter out;

    DemoTable(Site site, List<InProcessBalancer> balancers, PrintWriter out) {
        this.site = site;
        this.balancers = balancers;
        this.out = out;
    }

    /** What balancers know of a node: the mean of their weights, and the sum of their requests in flight. */
    private record Known(double weight, int inFlight) {
        static final Known NOTHING = new Known(0, 0);

        Known plus(Known other) {
            return new Known(weight + other.weight, inFlight + other.inFlight);
        }
    }

    void redraw(String headline) {
        out.print(CLEAR_SCREEN);
        out.println(headline);
        out.println();
        out.println(COLUMNS);
        Map<String, Known> knownByNode = knownByNode();
        for (OrderNode node : site.nodes()) {
            out.println(row(node, knownByNode.getOrDefault(node.spec().id(), Known.NOTHING)));
        }
        out.flush();
    }

    private Map<String, Known> knownByNode() {
        Map<String, Known> knownByNode = new HashMap<>();
        for (InProcessBalancer balancer : balancers) {
            for (LoadBalancingPolicy.UpstreamStatus status : balancer.summary().upstreams()) {
                Known known = new Known(status.weight() / balancers.size(), status.inFlight());
                knownByNode.merge(status.id(), known, Known::plus);
            }
        }
        return knownByNode;
    }

    private String row(OrderNode node, Known known) {
        return String.format(
                Locale.ROOT,
                "%-6s %-10s %5.1f  %6.2f  %9d  %11.2f  %s",
                node.spec().id(),
                site.spec().zones().get(node.spec().zone()),
                node.spec().capacity(),
                known.weight(),
                known.inFlight(),
                site.ask(node.model()::utilisation),
                site.ask(node.model()::state));
    }
}
