package sedgeyoke.policy;

import sedgeyoke.policy.LoadBalancingPolicy.Actions;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;

/** Keeps the subscription to the endpoint list, and renews it after a failure with exponential backoff. */
final class EndpointSubscription {
    /** Mean of the first backoff; it doubles with each failure in a row. */
    private static final long FIRST_BACKOFF_MICROS = 500_000;
    /** Longest backoff, as a share of the time within which the list must be polled. */
    private static final double MAX_BACKOFF_SHARE = 0.25;

    private static final long NEVER = Long.MAX_VALUE;

    private final boolean enabled;
    private final long maxBackoffMicros;
    private final Actions actions;
    private final Jitter jitter;
    private long retryAtMicros = NEVER;
    private long backoffMicros;

    EndpointSubscription(Settings settings, Actions actions, Jitter jitter) {
        this.enabled = settings.subscribesToEndpoints();
        double longest = MAX_BACKOFF_SHARE * settings.rules().endpointPollLimitMicros();
        this.maxBackoffMicros = (long) Math.max(FIRST_BACKOFF_MICROS, longest);
        this.actions = actions;
        this.jitter = jitter;
    }

    void start() {
        if (enabled) {
            actions.watchEndpoints(true);
        }
    }

    /** Discovery has answered. */
    void succeeded() {
        backoffMicros = 0;
    }

    /** Discovery has failed: subscribes again after a backoff. */
    void failed(long nowMicros) {
        backoffMicros = Math.min(maxBackoffMicros, Math.max(FIRST_BACKOFF_MICROS, 2 * backoffMicros));
        retryAtMicros = nowMicros + jitter.around(backoffMicros);
    }

    void retryIfDue(long nowMicros) {
        if (enabled && nowMicros >= retryAtMicros) {
            retryAtMicros = NEVER;
            actions.watchEndpoints(true);
        }
    }
}
