package sedgeyoke.model;

import java.util.SplittableRandom;

/**
 * A request class and the distribution of the work of its requests.
 *
 * @param name as in {@code X-Call-Class}
 * @param idempotency whether a request may be executed more than once
 * @param share its share of all requests
 * @param latencyObjectiveMs an answer within this time counts as served in time
 * @param clientTimeoutMs how long a client waits in total, including its retries
 * @param priorityWeight the weight of one request in the metrics of service
 * @param meanWorkMs mean work on a core of speed 1
 * @param spread the distribution of work around its mean
 */
public record RequestClassModel(
        String name,
        Idempotency idempotency,
        double share,
        int latencyObjectiveMs,
        int clientTimeoutMs,
        double priorityWeight,
        double meanWorkMs,
        Spread spread) {
    private static final double MIN_SHARE_OF_MEAN = 0.4;
    private static final double MAX_MULTIPLE_OF_MEAN = 4;
    private static final int LONG_ONE_IN = 10;
    private static final double LONG_MULTIPLE = 5.5;
    private static final double SHORT_MULTIPLE = 0.5;

    /** Creates a class whose work has the platform's distribution. */
    public RequestClassModel(
            String name,
            Idempotency idempotency,
            double share,
            int latencyObjectiveMs,
            int clientTimeoutMs,
            double priorityWeight,
            double meanWorkMs) {
        this(name, idempotency, share, latencyObjectiveMs, clientTimeoutMs, priorityWeight, meanWorkMs, Spread.DEFAULT);
    }

    /** Whether a request may be executed more than once. */
    public enum Idempotency {
        /** It may be executed any number of times, as it has no effect. */
        SAFE("free"),
        /** Nodes recognise a repeat by its idempotency key; it takes no effect. */
        KEYED("guarded"),
        /** It must be executed once at most. */
        UNSAFE("single_shot");

        private final String settingsName;

        Idempotency(String settingsName) {
            this.settingsName = settingsName;
        }

        /** The name in the platform's settings. */
        public String settingsName() {
            return settingsName;
        }
    }

    /** Distributions of work around its mean. */
    public enum Spread {
        /** 0.4 of the mean plus an exponential remainder, capped at four times the mean. */
        DEFAULT,
        /** Exponential, as in M/M/c queues. */
        EXPONENTIAL,
        /** Always the mean. */
        CONSTANT,
        /** One request in ten takes 5.5 times the mean, the others half of the mean. */
        BIMODAL
    }

    /** Draws the work of one request, in seconds. */
    double draw(SplittableRandom random) {
        double mean = meanWorkMs / 1e3;
        return switch (spread) {
            case DEFAULT -> Math.min(
                    MAX_MULTIPLE_OF_MEAN * mean,
                    MIN_SHARE_OF_MEAN * mean
                            - (1 - MIN_SHARE_OF_MEAN) * mean * StrictMath.log(1 - random.nextDouble()));
            case EXPONENTIAL -> -mean * StrictMath.log(1 - random.nextDouble());
            case CONSTANT -> mean;
            case BIMODAL -> mean * (random.nextInt(LONG_ONE_IN) == 0 ? LONG_MULTIPLE : SHORT_MULTIPLE);
        };
    }

    /** Whether a request may be executed any number of times. */
    public boolean safe() {
        return idempotency == Idempotency.SAFE;
    }

    /** Whether nodes recognise repeats by their idempotency key. */
    public boolean keyed() {
        return idempotency == Idempotency.KEYED;
    }
}
