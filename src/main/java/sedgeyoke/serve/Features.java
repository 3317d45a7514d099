package sedgeyoke.serve;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.function.Consumer;
import sedgeyoke.agree.Schema;
import sedgeyoke.body.BodyLimits;
import sedgeyoke.decide.Balancer;
import sedgeyoke.link.AgreedLink;
import sedgeyoke.link.PlannerLink;
import sedgeyoke.net.Config;
import sedgeyoke.net.ModulePort;
import sedgeyoke.net.Server;
import sedgeyoke.operator.AgreedSettings;
import sedgeyoke.operator.BadOperatorFile;
import sedgeyoke.operator.OperatorFile;
import sedgeyoke.operator.PlansSettings;
import sedgeyoke.plan.Follower;

/** What the operator's file turns on beside the balancer, and what becomes of it on SIGHUP. */
final class Features {
    /** A grant must let through this many mean requests in the time in which a cold upstream falls over. */
    private static final double LEAST_GRANT_REQUESTS = 1.2;

    private final Path path;
    private final OperatorFile file;
    private EventLoop loop;
    private PlannerLink planners;

    private Features(Path path, OperatorFile file) {
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

    static Features load(String operator) throws Bad {
        Path path = Path.of(operator);
        try {
            OperatorFile file = OperatorFile.load(path);
            if (file.keeper().enabled()) {
                throw new Bad(operator + ": keeper.enabled: this file is a keeper's; start it with 'keep'");
            }
            if (file.planner().enabled()) {
                throw new Bad(operator + ": planner.enabled: this file is a planner's; start it with 'plan'");
            }
            return new Features(path, file);
        } catch (BadOperatorFile e) {
            throw new Bad(e.getMessage());
        }
    }

    /** Limits on bodies, which the sockets are made with. */
    BodyLimits bodies() {
        return file.bodies();
    }

    /** Starts what is on, once the balancer listens; throws if it cannot be. */
    synchronized void start(EventLoop on, Server server, Config config) throws Bad {
        loop = on;
        startAgreed(server, config);
        PlansSettings plans = file.plans();
        if (!plans.enabled()) {
            return;
        }
        Balancer.Settings settings = config.facts().settings();
        double leastGrant =
                LEAST_GRANT_REQUESTS * 1e6 / Math.max(1, settings.rules().fallTime());
        Follower.Identity self = new Follower.Identity(
                config.name(),
                new SecureRandom().nextLong() | 1,
                settings.zone(),
                plans.leaseMs() * 1_000,
                plans.fadeMs() * 1_000,
                leastGrant);
        try {
            planners = new PlannerLink(loop, server.port(), self, plans);
        } catch (IOException e) {
            throw new Bad(path + ": [plans]: " + e.getMessage());
        }
        loop.execute(planners::start);
    }

    /** What the keepers agree is out is out here, too; the module hears of it as it does of what is out by hand. */
    private void startAgreed(Server server, Config config) throws Bad {
        AgreedSettings agreed = file.agreed();
        if (!agreed.enabled()) {
            return;
        }
        ModulePort port = server.port();
        try {
            AgreedLink link = new AgreedLink(
                    loop,
                    agreed,
                    config.name(),
                    new SecureRandom().nextLong() | 1,
                    port::now,
                    port::log,
                    acting -> port.agreedOut(
                            acting.document().names(Schema.UPSTREAMS_OUT).keySet()));
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
                loop.execute(() -> planners.reloaded(changed.plans()));
            }
        } catch (BadOperatorFile e) {
            log.accept("reload: the old operator's file stays in force: " + e.getMessage());
        }
    }
}
