package sedgeyoke.policy;

import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import sedgeyoke.policy.LoadBalancingPolicy.Actions;
import sedgeyoke.policy.LoadBalancingPolicy.Reports;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;

/** Runs health checks where they are the only source of load reports, at a rate that depends on price and traffic. */
final class HealthChecks {
    private static final double MICROS_PER_SECOND = 1e6;
    /** Minimum time between two checks of one upstream. */
    private static final long MIN_INTERVAL_MICROS = 300_000;
    /** Points that health checks may cost per request. */
    private static final double POINTS_PER_REQUEST = 0.003;

    private final boolean enabled;
    private final double price;
    private final Actions actions;
    private final RequestRates rates;
    private final Jitter jitter;
    private long nextAtMicros;

    HealthChecks(Settings settings, Actions actions, RequestRates rates, Jitter jitter) {
        this.enabled = settings.reports() == Reports.BY_HEALTH_CHECK
                && settings.limits().healthChecks();
        this.price = settings.prices().healthCheck();
        this.actions = actions;
        this.rates = rates;
        this.jitter = jitter;
    }

    /** When one upstream was last checked. */
    static final class State {
        private long checkedAtMicros = Long.MIN_VALUE / 2;
    }

    void start(long nowMicros) {
        nextAtMicros = nowMicros + jitter.around(MIN_INTERVAL_MICROS);
    }

    /** If a check is due, checks the upstream whose last check is the oldest. */
    void checkIfDue(List<UpstreamState> ready, long nowMicros) {
        if (!enabled || nowMicros < nextAtMicros || ready.isEmpty()) {
            return;
        }
        long meanIntervalMicros = (long) (MICROS_PER_SECOND / checksPerSecond(ready.size()));
        nextAtMicros = nowMicros + jitter.around(meanIntervalMicros);
        UpstreamState oldest =
                Collections.min(ready, Comparator.comparingLong(each -> each.healthChecks.checkedAtMicros));
        oldest.healthChecks.checkedAtMicros = nowMicros;
        actions.healthCheck(oldest.id);
    }

    private double checksPerSecond(int upstreams) {
        double perRequest = price > 0 ? POINTS_PER_REQUEST / price : 1;
        double requests = Math.max(rates.firstRequestsPerSecond(), 1);
        return Math.min(perRequest * requests, upstreams * MICROS_PER_SECOND / MIN_INTERVAL_MICROS);
    }
}
