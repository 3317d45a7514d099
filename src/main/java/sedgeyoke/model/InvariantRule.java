package sedgeyoke.model;

/** The four rules that must hold in every run, with the platform's numbers. */
public enum InvariantRule {
    /** Each request gets one answer, in time and from the node that served it: see {@link AnswerRule}. */
    ANSWERS(1),
    /** Only what clients sent is executed, and no more often than its class allows: see {@link ExecutionRule}. */
    EXECUTION(2),
    /** A draining node gets no new requests after a grace period: see {@link DrainRule}. */
    DRAINING(3),
    /** A node in slow start is not overloaded: see {@link SlowStartRule}. */
    SLOW_START(4);

    private final int number;

    InvariantRule(int number) {
        this.number = number;
    }

    /** The platform's number of the rule, by which metrics count violations. */
    public int number() {
        return number;
    }
}
