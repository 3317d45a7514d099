package sedgeyoke.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sedgeyoke.lease.LeaseClock;
import sedgeyoke.plan.ForwarderReport;
import sedgeyoke.plan.PlanMessage;
import sedgeyoke.plan.PlanSubscriber;
import sedgeyoke.policy.LoadBalancingPolicy;

/** The forwarder's side of the planner protocol: connects to planners, sends reports, passes plans to the policy. */
final class SimulatedPlannerClient {
    /** As in the real program: the smallest useful grant, in requests per overload window. */
    private static final double MIN_GRANT_REQUESTS = 1.2;

    private static final long MAX_FIRST_CONNECT_MICROS = 200_000;
    private static final long MIN_RECONNECT_MICROS = 200_000;
    private static final long RECONNECT_SPREAD_MICROS = 2_000_000;
    private static final long DISCONNECTED = Long.MAX_VALUE;

    private final SimulationContext context;
    private final SimulatedForwarder forwarder;
    private final SimulatedProcess process;
    private final List<SimulatedPlanner> planners;
    /** When the connection to each planner becomes usable. */
    private final Map<SimulatedPlanner, Long> connectedAtMicros = new HashMap<>();

    private PlanSubscriber subscriber;
    private long lastArrivalMicros;

    SimulatedPlannerClient(
            SimulationContext context,
            SimulatedForwarder forwarder,
            SimulatedProcess process,
            List<SimulatedPlanner> planners) {
        this.context = context;
        this.forwarder = forwarder;
        this.process = process;
        this.planners = planners;
    }

    /** Starts a plan subscriber for an incarnation that has just started; does nothing if there are no planners. */
    void start(long incarnation, long overloadWindowMicros) {
        if (planners.isEmpty()) {
            return;
        }
        Scenario.PlannerSpec spec = context.scenario.planners();
        subscriber = new PlanSubscriber(
                new PlanSubscriber.Identity(
                        forwarder.name(),
                        incarnation,
                        forwarder.zone(),
                        spec.leaseMs() * 1_000,
                        spec.fadeMs() * 1_000,
                        MIN_GRANT_REQUESTS * 1e6 / Math.max(1, overloadWindowMicros)),
                new LeaseClock(spec.driftPpm()),
                forwarder.localTime());
        forwarder.deliver(this::updatePlan);
        for (SimulatedPlanner planner : planners) {
            connectedAtMicros.put(planner, context.events.now() + context.random.nextLong(MAX_FIRST_CONNECT_MICROS));
        }
        scheduleReports();
    }

    private void updatePlan() {
        long now = forwarder.localTime();
        forwarder.policy().planUpdated(now, subscriber.currentPlan(now));
    }

    private void scheduleReports() {
        long intervalMicros = context.scenario.planners().reportMs() * 1_000;
        long jitterMicros = context.random.nextLong(Math.max(1, intervalMicros / 4));
        process.schedule(intervalMicros - intervalMicros / 8 + jitterMicros, () -> {
            forwarder.deliver(this::sendReports);
            scheduleReports();
        });
    }

    /**
     * Sends a report to each connected planner for which one is due. The policy gets the plan without the delegated
     * quota before the reports are sent, so before a planner can grant that quota to others.
     */
    private void sendReports() {
        long now = forwarder.localTime();
        LoadBalancingPolicy.Summary summary = null;
        List<SimulatedPlanner> recipients = new ArrayList<>();
        List<ForwarderReport> reports = new ArrayList<>();
        for (SimulatedPlanner planner : planners) {
            if (isConnected(planner) && subscriber.isReportDue(now, planner.name())) {
                if (summary == null) {
                    summary = forwarder.policy().summary(now);
                }
                recipients.add(planner);
                reports.add(subscriber.createReport(now, planner.name(), summary));
            }
        }
        forwarder.policy().planUpdated(now, subscriber.currentPlan(now));
        for (int i = 0; i < recipients.size(); i++) {
            recipients.get(i).receiveReport(forwarder, reports.get(i));
        }
    }

    /** Whether a planner is connected. Reconnects after a random backoff, so that forwarders are not synchronised. */
    private boolean isConnected(SimulatedPlanner planner) {
        long now = context.events.now();
        if (!planner.isRunning()) {
            connectedAtMicros.put(planner, DISCONNECTED);
            return false;
        }
        if (connectedAtMicros.get(planner) == DISCONNECTED) {
            connectedAtMicros.put(
                    planner, now + MIN_RECONNECT_MICROS + context.random.nextLong(RECONNECT_SPREAD_MICROS));
        }
        return now >= connectedAtMicros.get(planner);
    }

    /** Accepts a plan that a planner sends; plans arrive in the order in which they were sent. */
    void receivePlan(PlanMessage plan, long delayMicros) {
        long arrivalMicros = Math.max(lastArrivalMicros, context.events.now() + delayMicros);
        lastArrivalMicros = arrivalMicros;
        process.schedule(arrivalMicros - context.events.now(), () -> {
            long now = forwarder.localTime();
            if (subscriber.handlePlan(now, plan) && subscriber.affectsCurrentPlan(now, plan)) {
                forwarder.deliver(this::updatePlan);
            }
        });
    }
}
