package sedgeyoke.experiment;

import java.util.Comparator;

/**
 * How badly a variant does in a scenario; broken rules are worse than any loss of service.
 *
 * @param violations broken rules
 * @param loss mean service lost against the variant that it is compared with; 0 where rules were broken
 */
record Severity(int violations, double loss) implements Comparable<Severity> {
    /** A smaller loss is not reported. */
    private static final double MIN_LOSS = 0.002;
    /** A reduced scenario must still show this share of the loss. */
    private static final double KEPT_LOSS = 0.7;

    private static final Comparator<Severity> ORDER =
            Comparator.comparingInt(Severity::violations).thenComparingDouble(Severity::loss);

    static Severity ofViolations(int violations) {
        return new Severity(violations, 0);
    }

    static Severity ofLoss(double loss) {
        return new Severity(0, loss);
    }

    boolean breaksRules() {
        return violations > 0;
    }

    boolean isFinding() {
        return breaksRules() || loss >= MIN_LOSS;
    }

    /** Whether a reduced scenario shows about the same. */
    boolean isStillShownBy(Severity reduced) {
        return reduced.breaksRules() || (!breaksRules() && reduced.loss >= KEPT_LOSS * loss);
    }

    @Override
    public int compareTo(Severity other) {
        return ORDER.compare(this, other);
    }
}
