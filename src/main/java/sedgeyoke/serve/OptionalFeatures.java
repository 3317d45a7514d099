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
import sedgeyoke.plan.Follower;
import sedgeyoke.plan.remote.PlannerClient;
import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.proxy.BalancerConfig;
import sedgeyoke.proxy.BalancerServer;
import sedgeyoke.proxy.ModulePort;
import sedgeyoke.settings.ConfigSubscriptionSettings;
import sedgeyoke.settings.InvalidOperatorFileException;
import sedgeyoke.settings.OperatorFile;
import sedgeyoke.settings.PlannerClientSettings;

/** What the operator's file turns on beside the balancer, and what becomes of it on SIGHUP. */
final class OptionalFeatures {
    /** A grant must let through this many mean requests in the time in which a cold upstream falls over. */
    private static final double LEAST_GRANT_REQUESTS = 1.2;

    private final Path path;
    private final OperatorFile file;
    private EventLoop loop;
    private PlannerClient planners;

    private OptionalFeatures(Path path, OperatorFile file) {
        this.path = path;
        this.file = file;
    }

    /** An operator's file that the balancer does not start with. */
    static final class Bad extends Exception {
        private static final long serialVersionUID = 1L;

        Bad(String message) {
            super(message);
        }
    }

    static OptionalFeatures load(String operator) throws Bad {
        Path path = Path.of(operator);
        try {
            OperatorFile file = OperatorFile.load(path);
            if (file.keeper().enabled()) {
                throw new Bad(operator + ": keeper.enabled: this file is a keeper's; start it with 'keep'");
            }
            if (file.planner().enabled()) {
                throw new Bad(operator + ": planner.enabled: this file is a planner's; start it with 'plan'");
            }
            return new OptionalFeatures(path, file);
        } catch (InvalidOperatorFileException e) {
            throw new Bad(e.getMessage());
        }
    }

    /** Limits on bodies, which the sockets are made with. */
    BodyLimits bodies() {
        return file.bodies();
    }

    /** Starts what is on, once the balancer listens; throws if it cannot be. */
    synchronized void start(EventLoop on, BalancerServer server, BalancerConfig config) throws Bad {
        loop = on;
        startAgreed(server, config);
        PlannerClientSettings plans = file.plans();
        if (!plans.enabled()) {
            return;
        }
        LoadBalancingPolicy.Settings settings = config.facts().settings();
        double leastGrant =
                LEAST_GRANT_REQUESTS * 1e6 / Math.max(1, settings.rules().overloadWindow());
        Follower.Identity self = new Follower.Identity(
                config.name(),
                new SecureRandom().nextLong() | 1,
                settings.zone(),
                plans.leaseMs() * 1_000,
                plans.fadeMs() * 1_000,
                leastGrant);
        try {
            planners = new PlannerClient(loop, server.port(), self, plans);
        } catch (IOException e) {
            throw new Bad(path + ": [plans]: " + e.getMessage());
        }
        loop.execute(planners::start);
    }

    /** What the keepers agree is out is out here, too; the module hears of it as it does of what is out by hand. */
    private void startAgreed(BalancerServer server, BalancerConfig config) throws Bad {
        ConfigSubscriptionSettings agreed = file.agreed();
        if (!agreed.enabled()) {
            return;
        }
        ModulePort port = server.port();
        try {
            ConfigSubscription link = new ConfigSubscription(
                    loop,
                    agreed,
                    config.name(),
                    new SecureRandom().nextLong() | 1,
                    port::now,
                    port::log,
                    acting -> port.agreedOut(
                            acting.document().names(ConfigSchema.UPSTREAMS_OUT).keySet()));
            loop.execute(link::start);
        } catch (IOException e) {
            throw new Bad(path + ": [agreed]: " + e.getMessage());
        }
    }

    /** Reads the file again. What allows it is taken over; one line names what waits for a restart. */
    synchronized void reload(Consumer<String> log) {
        try {
            OperatorFile changed = OperatorFile.load(path);
            List<String> fixed = file.needRestart(changed);
            if (!fixed.isEmpty()) {
                log.accept("reload: " + String.join(", ", fixed) + " stay as they are until a restart");
            }
            if (planners != null) {
                loop.execute(() -> planners.reload(changed.plans()));
            }
        } catch (InvalidOperatorFileException e) {
            log.accept("reload: the old operator's file stays in force: " + e.getMessage());
        }
    }
}
