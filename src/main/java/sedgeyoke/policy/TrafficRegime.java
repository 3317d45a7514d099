package sedgeyoke.policy;

import sedgeyoke.policy.LoadBalancingPolicy.Outcome;

/**
 * All that differs between a balancer that sends an upstream most of its load and one of many that send it a
 * little each. {@link TrafficRegimeSelector} chooses.
 */
enum TrafficRegime {
    /** At least as many upstreams as balancers: our own requests in flight show the load of an upstream. */
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

    /** More balancers than upstreams: the load that our requests meet is mostly that of other balancers. */
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
    /** Share of the error rate that a reweighting period leaves, as few successes come to lower it. */
    private static final double SPARSE_ERROR_RETENTION = 0.95;
    /** Service time, as a multiple of the mean, that ends the affinity of keys to an upstream. */
    private static final double OVERLOADED_SLOWNESS = 3;

    /** Whether only the share of {@link AdmissionControl} is admitted. */
    abstract boolean limitsAdmission();

    /** Whether retries are charged to the budget of {@link RetryPolicy}, and wait for capacity. */
    abstract boolean limitsRetries();

    /** Whether in-flight limits apply; otherwise a rejection pauses an upstream for a response time. */
    abstract boolean limitsInFlight();

    /** Whether an upstream is ejected for its error rate alone. */
    abstract boolean ejectsByErrorRate();

    /** Whether the speed of its zone and kind stands in for the rating of an upstream. */
    abstract boolean ratesByKind();

    /** Whether a warming-up upstream is weighted like an affinity upstream: else its quota would go unused. */
    abstract boolean prefersWarmingUp();

    /** The fourth power of this is a factor on the score of the affinity upstream, whose cache is warm. */
    abstract double affinityWeight();

    /** Weight of a failed attempt in the error rate of its upstream. */
    abstract double errorWeight(Outcome outcome);

    /** Share of an error rate that is left after one reweighting period. */
    abstract double errorRateRetention();

    /** Requests that other balancers are taken to have in flight at an upstream. */
    abstract double othersInFlight(LoadReports reports, UpstreamState upstream, long nowMicros);

    /** The score of an upstream of this weight, before the load in flight divides it. */
    abstract double score(double weight, LoadReports reports, UpstreamState upstream, long nowMicros);

    /** Whether an upstream that is not ejected may remain the affinity upstream of its keys. */
    abstract boolean suitsAffinity(double errorRate, LoadReports reports, UpstreamState upstream, long nowMicros);
}
