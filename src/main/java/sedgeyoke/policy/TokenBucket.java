package sedgeyoke.policy;

/** A token bucket that holds the tokens of one second, but at least one token. It is empty at time 0. */
final class TokenBucket {
    private static final double MICROS_PER_SECOND = 1e6;

    private double tokens;
    private long updatedAtMicros;

    /** Takes a token if there is one; {@code perSecond} is the rate at which tokens were added since the last call. */
    boolean tryTake(double perSecond, long nowMicros) {
        double capacity = Math.max(perSecond, 1);
        double accrued = tokens + perSecond * (nowMicros - updatedAtMicros) / MICROS_PER_SECOND;
        double available = Math.min(capacity, accrued);
        boolean taken = available >= 1;
        tokens = available - (taken ? 1 : 0);
        updatedAtMicros = nowMicros;
        return taken;
    }
}
