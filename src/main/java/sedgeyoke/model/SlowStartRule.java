package sedgeyoke.model;

/**
 * Rule 4: no node in slow start is sent more than what overloads it. {@link WarmUpGuard} has the bound, a multiple of
 * the node's present capacity over a window; this class only records what the nodes report of it.
 */
final class SlowStartRule {
    private final ViolationLog violations;
    private final MarginHistogram margins = new MarginHistogram();
    private double peakLoad;

    SlowStartRule(ViolationLog violations) {
        this.violations = violations;
    }

    /** The recent load on a node in slow start, as a share of what overloads it. */
    void load(double shareOfOverload) {
        peakLoad = Math.max(peakLoad, shareOfOverload);
        margins.add(shareOfOverload);
    }

    /** A node in slow start was overloaded, and has failed. */
    void overloaded(String node) {
        violations.add(new Violation.OverloadedInSlowStart(node));
    }

    /** The highest load on a node in slow start, as a share of what overloads it. */
    double peakLoad() {
        return peakLoad;
    }

    /** Loads on nodes in slow start as shares of what overloads them. */
    MarginHistogram margins() {
        return margins;
    }
}
