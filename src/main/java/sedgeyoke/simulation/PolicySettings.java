package sedgeyoke.simulation;

import java.util.ArrayList;
import java.util.List;
import sedgeyoke.model.RequestClassModel;
import sedgeyoke.model.SiteModel;
import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.policy.LoadBalancingPolicy.Effect;
import sedgeyoke.policy.LoadBalancingPolicy.RequestClass;
import sedgeyoke.policy.LoadBalancingPolicy.Scope;

/** Derives the settings of a forwarder's policy from a scenario, as the platform's configuration would set them. */
final class PolicySettings {
    private static final long SECOND = 1_000_000;
    private static final long DEDUPLICATION_WINDOW_MICROS = 2_500_000;
    private static final int MAX_ATTEMPTS = 4;
    private static final int MAX_CONCURRENT_REQUESTS = 20_000;
    private static final long MAX_RETRY_AFTER_MICROS = 1_200_000;
    private static final long CONNECT_TIMEOUT_MICROS = 120_000;
    private static final long IDLE_TIMEOUT_MICROS = 10 * SECOND;
    private static final long RESPONSE_SLACK_MICROS = 20_000;
    private static final long ENDPOINT_POLL_LIMIT_MICROS = 10 * SECOND;
    private static final long CLOCK_TICK_MICROS = 5_000;
    private static final LoadBalancingPolicy.Prices PRICES = new LoadBalancingPolicy.Prices(0.06, 0.02, 0, 0.05, 0);

    private PolicySettings() {}

    /** Returns the settings of one forwarder; {@code position} is its index among all forwarders. */
    static LoadBalancingPolicy.Settings of(Scenario scenario, int zone, int position) {
        SiteModel site = scenario.site();
        return new LoadBalancingPolicy.Settings(
                zone,
                site.zones().size(),
                position,
                scenario.totalForwarders(),
                requestClasses(site),
                List.of(),
                1,
                false,
                limits(site),
                rules(site.rules()),
                PRICES,
                LoadBalancingPolicy.Reports.IN_RESPONSES,
                LoadBalancingPolicy.Ratings.NONE,
                false,
                scenario.traffic().keys() > 0,
                CLOCK_TICK_MICROS);
    }

    private static List<RequestClass> requestClasses(SiteModel site) {
        List<RequestClass> classes = new ArrayList<>();
        for (RequestClassModel model : site.classes()) {
            classes.add(new RequestClass(
                    model.latencyObjectiveMs() * 1_000L,
                    0,
                    model.clientTimeoutMs() * 1_000L,
                    model.priorityWeight(),
                    0,
                    effect(model),
                    model.keyed() ? Scope.ZONE : Scope.ALL,
                    DEDUPLICATION_WINDOW_MICROS,
                    false));
        }
        return classes;
    }

    private static Effect effect(RequestClassModel model) {
        if (model.safe()) {
            return Effect.SAFE;
        }
        return model.keyed() ? Effect.IDEMPOTENT_WITH_KEY : Effect.UNSAFE;
    }

    private static LoadBalancingPolicy.Limits limits(SiteModel site) {
        return new LoadBalancingPolicy.Limits(
                MAX_ATTEMPTS,
                true,
                false,
                true,
                false,
                MAX_CONCURRENT_REQUESTS,
                site.retryAfter(),
                MAX_RETRY_AFTER_MICROS,
                CONNECT_TIMEOUT_MICROS,
                IDLE_TIMEOUT_MICROS,
                1);
    }

    private static LoadBalancingPolicy.PlatformRules rules(SiteModel.RuleSpec rules) {
        return new LoadBalancingPolicy.PlatformRules(
                RESPONSE_SLACK_MICROS,
                ENDPOINT_POLL_LIMIT_MICROS,
                rules.startCapacity(),
                rules.warmUpMs() * 1_000,
                rules.drainGraceMs() * 1_000,
                rules.overloadMultiple(),
                rules.overloadWindowMs() * 1_000);
    }
}
