package sedgeyoke.policy;

import sedgeyoke.policy.LoadBalancingPolicy.Outcome;

/**
 * All rules that differ between a balancer that sends each upstream most of its load (dense traffic) and one of many
 * that send it a little each (sparse traffic). {@link TrafficRegimeSelector} chooses the regime.
 */
enum TrafficRegime {
    /** At least as many upstreams as balancers: our own requests in flight show how loaded an upstream is. */
    DENSE {
        @Override
        boolean limitsAdmission() {
            return false;
        }

        @Override
        boolean limitsRetries() {
            return false;
        }

        @Override
        boolean limitsInFlight() {
            return true;
        }

        @Override
        boolean ejectsByErrorRate() {
            return true;
        }

        @Override
        boolean ratesByKind() {
            return false;
        }

        @Override
        boolean prefersWarmingUp() {
            return false;
        }

        @Override
        double affinityWeight() {
            return 2.5;
        }

        @Override
        double errorWeight(Outcome outcome) {
            return OutlierDetection.ERROR_SMOOTHING;
        }

        @Override
        double errorRateRetention() {
            return 1;
        }

        @Override
        double othersInFlight(LoadReports reports, UpstreamState upstream, long nowMicros) {
            return 0;
        }

        @Override
        double score(double weight, LoadReports reports, UpstreamState upstream, long nowMicros) {
            return UpstreamScore.fourthPower(weight);
        }

        @Override
        boolean suitsAffinity(double errorRate, LoadReports reports, UpstreamState upstream, long nowMicros) {
            return true;
        }
    },

    /** More balancers than upstreams: most of the load of an upstream comes from other balancers. */
    SPARSE {
        @Override
        boolean limitsAdmission() {
            return true;
        }

        @Override
        boolean limitsRetries() {
            return true;
        }

        @Override
        boolean limitsInFlight() {
            return false;
        }

        @Override
        boolean ejectsByErrorRate() {
            return false;
        }

        @Override
        boolean ratesByKind() {
            return true;
        }

        @Override
        boolean prefersWarmingUp() {
            return true;
        }

        @Override
        double affinityWeight() {
            return 5;
        }

        @Override
        double errorWeight(Outcome outcome) {
            return outcome == Outcome.ERROR ? SPARSE_ERROR_WEIGHT : OutlierDetection.ERROR_SMOOTHING;
        }

        @Override
        double errorRateRetention() {
            return SPARSE_ERROR_RETENTION;
        }

        @Override
        double othersInFlight(LoadReports reports, UpstreamState upstream, long nowMicros) {
            return reports.othersInFlight(upstream, nowMicros);
        }

        @Override
        double score(double weight, LoadReports reports, UpstreamState upstream, long nowMicros) {
            return weight / reports.slowness(upstream, nowMicros);
        }

        @Override
        boolean suitsAffinity(double errorRate, LoadReports reports, UpstreamState upstream, long nowMicros) {
            boolean mostlySucceeds = errorRate < OutlierDetection.FAILING_ERROR_RATE;
            return mostlySucceeds && reports.slowness(upstream, nowMicros) < OVERLOADED_SLOWNESS;
        }
    };

    /** Weight of one error response in the error rate: with few requests, errors rarely come by chance. */
    private static final double SPARSE_ERROR_WEIGHT = 0.8;
    /**
     * Share of an error rate that remains after a reweighting period, as sparse traffic has few successes to lower it.
     */
    private static final double SPARSE_ERROR_RETENTION = 0.95;
    /** Service time, as a multiple of the mean, from which on an upstream is no affinity upstream. */
    private static final double OVERLOADED_SLOWNESS = 3;

    /** Whether only the share of requests set by {@link AdmissionControl} is admitted. */
    abstract boolean limitsAdmission();

    /** Whether retries are charged to the budget of {@link RetryPolicy} and sent only to upstreams with capacity. */
    abstract boolean limitsRetries();

    /** Whether in-flight limits apply; if not, a rejection pauses an upstream for a mean response time. */
    abstract boolean limitsInFlight();

    /** Whether an upstream is ejected for its error rate alone. */
    abstract boolean ejectsByErrorRate();

    /** Whether the speed of its zone and kind replaces the missing rating of an upstream. */
    abstract boolean ratesByKind();

    /** Whether a warming-up upstream is weighted like an affinity upstream; otherwise its quota would not be used. */
    abstract boolean prefersWarmingUp();

    /** The score of the affinity upstream, whose cache is warm, is multiplied by the fourth power of this weight. */
    abstract double affinityWeight();

    /** Weight of a failed attempt in the error rate of its upstream. */
    abstract double errorWeight(Outcome outcome);

    /** Share of an error rate that remains after one reweighting period. */
    abstract double errorRateRetention();

    /** Requests that other balancers are assumed to have in flight at an upstream. */
    abstract double othersInFlight(LoadReports reports, UpstreamState upstream, long nowMicros);

    /** The score of an upstream of this weight, before it is divided by the load in flight. */
    abstract double score(double weight, LoadReports reports, UpstreamState upstream, long nowMicros);

    /** Whether an upstream that is not ejected may remain the affinity upstream of its keys. */
    abstract boolean suitsAffinity(double errorRate, LoadReports reports, UpstreamState upstream, long nowMicros);
}
