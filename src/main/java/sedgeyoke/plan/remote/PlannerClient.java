package sedgeyoke.plan.remote;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import sedgeyoke.lease.LeaseClock;
import sedgeyoke.plan.Follower;
import sedgeyoke.plan.ForwarderReport;
import sedgeyoke.plan.PlanMessage;
import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.proxy.ModulePort;
import sedgeyoke.settings.PlannerClientSettings;
import sedgeyoke.transport.FramedConnection;
import sedgeyoke.transport.InvalidMessageException;
import sedgeyoke.transport.MutualTls;
import sedgeyoke.transport.proto.Frame;

/**
 * The forwarder's side: a connection to each planner, reports at a steady rate, and plans for the module. It runs on
 * the balancer's loop and never waits for anything: a planner that is away is tried again after a random pause.
 */
public final class PlannerClient {
    private static final long LEAST_PAUSE_MS = 200;
    private static final long LONGEST_PAUSE_MS = 3_000;

    private final EventLoop loop;
    private final ModulePort port;
    private final String name;
    private final MutualTls tls;
    private final Follower follower;
    private final SplittableRandom random;
    private final List<Target> targets = new ArrayList<>();
    private long reportEveryMs;

    /** Throws if the TLS files are no good. */
    public PlannerClient(EventLoop loop, ModulePort port, Follower.Identity self, PlannerClientSettings settings)
            throws IOException {
        this.loop = loop;
        this.port = port;
        this.name = self.name();
        this.tls = new MutualTls(settings.tls(), false, port::log);
        this.follower = new Follower(self, new LeaseClock(settings.driftPpm()), port.now());
        this.random = new SplittableRandom(self.incarnation());
        this.reportEveryMs = settings.reportEveryMs();
        settings.planners().forEach(address -> targets.add(new Target(address)));
    }

    /** Begins, on the loop. The module is told at once what of its rights must not be used yet. */
    public void start() {
        port.deliver(() -> port.module().planUpdated(port.now(), follower.currentPlan(port.now())));
        targets.forEach(Target::connect);
        scheduleReport();
    }

    /** Takes over what may change while we run; on the loop. */
    public void reloaded(PlannerClientSettings changed) {
        reportEveryMs = changed.reportEveryMs();
        follower.setFadeTimeMicros(changed.fadeMs() * 1_000);
    }

    /** Planners that were heard lately; on the loop. */
    public int heard() {
        return follower.activePlanners(port.now());
    }

    /** Forwarders must not all report in the same moment. */
    private void scheduleReport() {
        long jitter = random.nextLong(Math.max(1, reportEveryMs / 4));
        loop.schedule(this::report, reportEveryMs - reportEveryMs / 8 + jitter, TimeUnit.MILLISECONDS);
    }

    private void report() {
        try {
            port.deliver(this::reportNow);
        } finally {
            scheduleReport();
        }
    }

    /** What is lent with a report must be known to the module before the report can reach anyone. */
    private void reportNow() {
        long now = port.now();
        LoadBalancingPolicy.Summary summary = port.module().summary(now);
        Map<Connection, ForwarderReport> reports = new LinkedHashMap<>();
        for (Target t : targets) {
            if (t.connection != null && t.connection.peer() != null && follower.isReportDue(now, t.connection.peer())) {
                reports.put(t.connection, follower.createReport(now, t.connection.peer(), summary));
            }
        }
        port.module().planUpdated(now, follower.currentPlan(now));
        reports.forEach((connection, report) -> connection.send(
                Frame.newBuilder().setReport(PlannerCodec.of(report)).build()));
    }

    /** One planner's address. */
    private final class Target {
        private final InetSocketAddress address;
        private Connection connection;
        private long pauseMs = LEAST_PAUSE_MS;

        Target(InetSocketAddress address) {
            this.address = address;
        }

        void connect() {
            Connection next = new Connection(this);
            next.dial(loop, tls, address, connected -> {
                if (connected) {
                    connection = next;
                } else {
                    again();
                }
            });
        }

        /** Guards against a herd: when a planner is back, forwarders come one by one. */
        void again() {
            connection = null;
            long pause = pauseMs / 2 + random.nextLong(pauseMs);
            pauseMs = Math.min(LONGEST_PAUSE_MS, 2 * pauseMs);
            loop.schedule(this::connect, pause, TimeUnit.MILLISECONDS);
        }
    }

    /** A connection to a planner. */
    private final class Connection extends FramedConnection {
        private final Target target;

        Connection(Target target) {
            super(Set.of(MutualTls.Role.PLANNER), name, port::log);
            this.target = target;
        }

        @Override
        protected void ready() {
            target.pauseMs = LEAST_PAUSE_MS;
        }

        @Override
        protected void message(Frame frame) throws InvalidMessageException, InvalidProtocolBufferException {
            if (!frame.hasPlan()) {
                close("sends what is no plan");
                return;
            }
            PlanMessage plan = PlannerCodec.plan(peer(), frame.getPlan());
            long now = port.now();
            if (follower.handlePlan(now, plan) && follower.affectsCurrentPlan(now, plan)) {
                port.deliver(() -> port.module().planUpdated(port.now(), follower.currentPlan(port.now())));
            }
        }

        @Override
        protected void gone() {
            if (target.connection == this) {
                target.again();
            }
        }
    }
}
