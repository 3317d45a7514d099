package sedgeyoke.model;

/**
 * Rule 4: balancers do not overload a node in slow start. {@link OverloadDetector} sets the bound, a multiple of the
 * node's current capacity over a window; this class records the loads and failures that the nodes report.
 */
final class SlowStartRule {
    private final ViolationLog violations;
    private final MarginHistogram margins = new MarginHistogram();
    private double peakLoad;

    SlowStartRule(ViolationLog violations) {
        this.violations = violations;
    }

    /** Records the load on a node in slow start over the last window, as a share of the load that overloads it. */
    void load(double shareOfOverload) {
        peakLoad = Math.max(peakLoad, shareOfOverload);
        margins.add(shareOfOverload);
    }

    /** Records that a node in slow start failed because it was overloaded. */
    void overloaded(String node) {
        violations.add(new Violation.OverloadedInSlowStart(node));
    }

    /** The highest load on a node in slow start, as a share of the load that overloads it. */
    double peakLoad() {
        return peakLoad;
    }

    /** Loads on nodes in slow start, as shares of the load that overloads them. */
    MarginHistogram margins() {
        return margins;
    }
}
