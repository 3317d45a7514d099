package sedgeyoke.serve;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.function.Consumer;
import sedgeyoke.body.BodyLimits;
import sedgeyoke.consensus.ConfigSchema;
import sedgeyoke.consensus.server.ConfigSubscription;
import sedgeyoke.plan.PlanSubscriber;
import sedgeyoke.plan.remote.PlannerClient;
import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.proxy.common.TimeUnits;
import sedgeyoke.proxy.config.BalancerConfig;
import sedgeyoke.proxy.core.PolicyPort;
import sedgeyoke.proxy.lifecycle.BalancerServer;
import sedgeyoke.settings.ConfigSubscriptionSettings;
import sedgeyoke.settings.InvalidOperatorFileException;
import sedgeyoke.settings.OperatorFile;
import sedgeyoke.settings.PlannerClientSettings;

/** Starts the optional features that the operator's file enables, and reloads them on SIGHUP. */
final class OptionalFeatures {
    /** The smallest slow-start quota: mean requests in the time in which a cold upstream would become overloaded. */
    private static final double MIN_GRANT_REQUESTS = 1.2;

    private final Path path;
    private final OperatorFile file;
    private EventLoop loop;
    private PlannerClient planners;

    private OptionalFeatures(Path path, OperatorFile file) {
        this.path = path;
        this.file = file;
    }

    /** Reads the operator's file at this path; throws if it is invalid or is meant for another kind of process. */
    static OptionalFeatures load(String operator) throws InvalidFeatureException {
        Path path = Path.of(operator);
        OperatorFile file;
        try {
            file = OperatorFile.load(path);
        } catch (InvalidOperatorFileException e) {
            throw new InvalidFeatureException(path, e.getMessage(), e);
        }
        if (file.configServer().enabled()) {
            throw invalid(
                    path,
                    "config_server.enabled",
                    "this file is a config server's; start it with 'config-server'",
                    null);
        }
        if (file.planner().enabled()) {
            throw invalid(path, "planner.enabled", "this file is a planner's; start it with 'plan'", null);
        }
        return new OptionalFeatures(path, file);
    }

    private static InvalidFeatureException invalid(Path path, String key, String message, IOException cause) {
        return new InvalidFeatureException(path, path + ": " + key + ": " + message, cause);
    }

    /** Returns the limits on bodies; they also determine socket options. */
    BodyLimits bodies() {
        return file.bodies();
    }

    /** Starts the enabled features once the balancer listens; throws if their TLS files cannot be used. */
    synchronized void start(EventLoop eventLoop, BalancerServer server, BalancerConfig config)
            throws InvalidFeatureException {
        loop = eventLoop;
        startConfigSubscription(server, config);
        PlannerClientSettings plans = file.plans();
        if (!plans.enabled()) {
            return;
        }
        LoadBalancingPolicy.Settings settings = config.instanceSettings().settings();
        double minGrant = MIN_GRANT_REQUESTS
                * TimeUnits.MICROS_PER_SECOND
                / Math.max(1, settings.rules().overloadWindowMicros());
        PlanSubscriber.Identity self = new PlanSubscriber.Identity(
                config.name(),
                new SecureRandom().nextLong() | 1,
                settings.zone(),
                plans.leaseMs() * TimeUnits.MICROS_PER_MILLI,
                plans.fadeMs() * TimeUnits.MICROS_PER_MILLI,
                minGrant);
        try {
            planners = new PlannerClient(loop, server.port(), self, plans);
        } catch (IOException e) {
            throw invalid(path, "[plans]", e.getMessage(), e);
        }
        loop.execute(planners::start);
    }

    /** Subscribes to the config servers; upstreams that their config cordons are cordoned in this balancer. */
    private void startConfigSubscription(BalancerServer server, BalancerConfig config) throws InvalidFeatureException {
        ConfigSubscriptionSettings subscription = file.config();
        if (!subscription.enabled()) {
            return;
        }
        PolicyPort port = server.port();
        try {
            ConfigSubscription subscriber = new ConfigSubscription(
                    loop,
                    subscription,
                    config.name(),
                    new SecureRandom().nextLong() | 1,
                    port::now,
                    port::log,
                    acting -> port.setFleetCordons(acting.document()
                            .names(ConfigSchema.DISABLED_UPSTREAMS)
                            .keySet()));
            loop.execute(subscriber::start);
        } catch (IOException e) {
            throw invalid(path, "[config]", e.getMessage(), e);
        }
    }

    /** Reads the file again and applies the keys that can be reloaded; logs the changed keys that need a restart. */
    synchronized void reload(Consumer<String> log) {
        try {
            OperatorFile changed = OperatorFile.load(path, log);
            List<String> keysThatNeedRestart = file.needRestart(changed);
            if (!keysThatNeedRestart.isEmpty()) {
                log.accept("reload: changes to " + String.join(", ", keysThatNeedRestart)
                        + " are ignored until a restart");
            }
            if (planners != null) {
                loop.execute(() -> planners.reload(changed.plans()));
            }
        } catch (InvalidOperatorFileException e) {
            log.accept("reload: the old operator's file stays in force: " + e.getMessage());
        }
    }
}
