package sedgeyoke.experiment;

import java.util.Comparator;

/**
 * How badly a variant performs in a scenario; an invariant violation is worse than any loss of service.
 *
 * @param violations number of invariant violations
 * @param loss mean loss of service relative to the other variant; 0 if invariants were violated
 */
record Severity(int violations, double loss) implements Comparable<Severity> {
    /** Minimum loss of service that is reported. */
    private static final double MIN_LOSS = 0.002;
    /** Minimum share of the original loss that a reduced scenario must still show. */
    private static final double MIN_KEPT_LOSS_SHARE = 0.7;

    private static final Comparator<Severity> ORDER =
            Comparator.comparingInt(Severity::violations).thenComparingDouble(Severity::loss);

    static Severity ofViolations(int violations) {
        return new Severity(violations, 0);
    }

    static Severity ofLoss(double loss) {
        return new Severity(0, loss);
    }

    boolean hasViolations() {
        return violations > 0;
    }

    boolean isFinding() {
        return hasViolations() || loss >= MIN_LOSS;
    }

    /** Whether a reduced scenario still shows this violation, or most of this loss. */
    boolean isReproducedBy(Severity reduced) {
        return reduced.hasViolations() || (!hasViolations() && reduced.loss >= MIN_KEPT_LOSS_SHARE * loss);
    }

    @Override
    public int compareTo(Severity other) {
        return ORDER.compare(this, other);
    }
}
