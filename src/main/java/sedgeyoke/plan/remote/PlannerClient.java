package sedgeyoke.plan.remote;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import sedgeyoke.lease.LeaseClock;
import sedgeyoke.plan.ForwarderReport;
import sedgeyoke.plan.PlanMessage;
import sedgeyoke.plan.PlanSubscriber;
import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.proxy.common.TimeUnits;
import sedgeyoke.proxy.core.PolicyPort;
import sedgeyoke.settings.PlannerClientSettings;
import sedgeyoke.transport.Backoff;
import sedgeyoke.transport.FramedConnection;
import sedgeyoke.transport.InvalidMessageException;
import sedgeyoke.transport.MutualTls;
import sedgeyoke.transport.PeerRole;
import sedgeyoke.transport.ReconnectingDialer;
import sedgeyoke.transport.proto.Frame;

/**
 * Connects a forwarder to all planners: it sends load reports at regular intervals and gives the received plans to the
 * policy. It runs on the balancer's event loop and never blocks.
 */
public final class PlannerClient {
    private static final long MIN_RECONNECT_MILLIS = 200;
    private static final long MAX_RECONNECT_MILLIS = 3_000;

    private final EventLoop loop;
    private final PolicyPort port;
    private final String name;
    private final PlanSubscriber subscriber;
    private final SplittableRandom random;
    private final List<ReconnectingDialer<PlannerConnection>> planners = new ArrayList<>();
    private long reportIntervalMillis;

    /** Creates the client; throws if the TLS files cannot be loaded. */
    public PlannerClient(EventLoop loop, PolicyPort port, PlanSubscriber.Identity self, PlannerClientSettings settings)
            throws IOException {
        this.loop = loop;
        this.port = port;
        this.name = self.name();
        this.subscriber = new PlanSubscriber(self, new LeaseClock(settings.driftPpm()), port.now());
        this.random = new SplittableRandom(self.incarnation());
        this.reportIntervalMillis = settings.reportEveryMs();
        MutualTls tls = MutualTls.forClient(settings.tls(), port::log);
        settings.planners().forEach(address -> {
            Backoff backoff = new Backoff(MIN_RECONNECT_MILLIS, MAX_RECONNECT_MILLIS, random);
            planners.add(new ReconnectingDialer<>(loop, tls, address, backoff, PlannerConnection::new));
        });
    }

    /**
     * Connects to the planners and starts to report; on the loop. The policy first gets a plan that blocks its own
     * slow-start quota for one lease.
     */
    public void start() {
        port.deliver(this::updatePolicy);
        planners.forEach(ReconnectingDialer::start);
        scheduleReport();
    }

    /** Applies those settings that may change without a restart; on the loop. */
    public void reload(PlannerClientSettings changed) {
        reportIntervalMillis = changed.reportEveryMs();
        subscriber.setFadeTimeMicros(changed.fadeMs() * TimeUnits.MICROS_PER_MILLI);
    }

    /** Returns the number of planners that have sent a plan recently; on the loop. */
    public int activePlanners() {
        return subscriber.activePlanners(port.now());
    }

    private void updatePolicy() {
        port.policy().planUpdated(port.now(), subscriber.currentPlan(port.now()));
    }

    /**
     * Schedules the next report. The delay varies by an eighth in both directions, so that forwarders do not report at
     * the same moment.
     */
    private void scheduleReport() {
        long jitterMillis = random.nextLong(Math.max(1, reportIntervalMillis / 4));
        long delayMillis = reportIntervalMillis - reportIntervalMillis / 8 + jitterMillis;
        loop.schedule(this::report, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void report() {
        try {
            port.deliver(this::sendReports);
        } finally {
            scheduleReport();
        }
    }

    /**
     * Sends the reports that are due, after the policy has received the plan that withholds the quota delegated in
     * them. So no quota is used twice.
     */
    private void sendReports() {
        long nowMicros = port.now();
        LoadBalancingPolicy.Summary summary = port.policy().summary(nowMicros);
        Map<PlannerConnection, ForwarderReport> reports = new LinkedHashMap<>();
        for (ReconnectingDialer<PlannerConnection> planner : planners) {
            Optional<PlannerConnection> connection = planner.readyConnection();
            if (connection.isPresent()
                    && subscriber.isReportDue(nowMicros, connection.get().peerName())) {
                reports.put(
                        connection.get(),
                        subscriber.createReport(nowMicros, connection.get().peerName(), summary));
            }
        }
        port.policy().planUpdated(nowMicros, subscriber.currentPlan(nowMicros));
        reports.forEach((connection, report) -> connection.send(
                Frame.newBuilder().setReport(PlannerCodec.encodeReport(report)).build()));
    }

    /** A connection to a planner. */
    private final class PlannerConnection extends FramedConnection {
        PlannerConnection() {
            super(Set.of(PeerRole.PLANNER), name, port::log);
        }

        @Override
        protected void onMessage(Frame frame) throws InvalidMessageException, InvalidProtocolBufferException {
            if (!frame.hasPlan()) {
                close("unexpected message, not a plan");
                return;
            }
            PlanMessage plan = PlannerCodec.decodePlan(peerName(), frame.getPlan());
            long nowMicros = port.now();
            if (subscriber.handlePlan(nowMicros, plan) && subscriber.affectsCurrentPlan(nowMicros, plan)) {
                port.deliver(PlannerClient.this::updatePolicy);
            }
        }
    }
}
