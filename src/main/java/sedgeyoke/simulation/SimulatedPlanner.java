package sedgeyoke.simulation;

import java.util.HashMap;
import java.util.Map;
import sedgeyoke.lease.LeaseClock;
import sedgeyoke.plan.ForwarderReport;
import sedgeyoke.plan.Planner;

/** The real planner in a simulated process, with network delays and faults of the process and the network. */
final class SimulatedPlanner {
    private static final int MAX_FORWARDERS = 10_000;
    private static final int MAX_UPSTREAMS = 20_000;
    /** Bound of the random offset of its monotonic clock, which is unrelated to other clocks. */
    private static final long MAX_CLOCK_OFFSET = 1L << 40;

    private final SimulationContext context;
    private final String name;
    private final int zone;
    private final long clockOffset;
    private final double clockDrift;
    private final SimulatedProcess process;
    private final Map<String, SimulatedForwarder> forwarders = new HashMap<>();
    private Planner planner;
    private long inboundLostUntilMicros;
    private long outboundLostUntilMicros;

    SimulatedPlanner(SimulationContext context, int number) {
        this.context = context;
        this.name = "p" + number;
        this.zone = number % context.scenario.site().zones().size();
        this.clockOffset = context.random.nextLong(MAX_CLOCK_OFFSET);
        this.clockDrift = context.scenario.network().clockDriftPpm() * 1e-6 * (2 * context.random.nextDouble() - 1);
        this.process = new SimulatedProcess(context.events);
    }

    String name() {
        return name;
    }

    boolean isRunning() {
        return process.running();
    }

    private long localTime() {
        return clockOffset + (long) ((1 + clockDrift) * context.events.now());
    }

    void start() {
        process.start();
        long incarnation = name.hashCode() * 1_000L + process.incarnation();
        planner = new Planner(
                new Planner.Settings(name, incarnation, MAX_FORWARDERS, MAX_UPSTREAMS),
                new LeaseClock(context.scenario.planners().driftPpm()));
        schedulePlans();
    }

    void kill() {
        process.kill();
    }

    void pauseUntil(long timeMicros) {
        process.pauseUntil(timeMicros);
    }

    void loseInboundUntil(long timeMicros) {
        inboundLostUntilMicros = timeMicros;
    }

    void loseOutboundUntil(long timeMicros) {
        outboundLostUntilMicros = timeMicros;
    }

    private void schedulePlans() {
        process.schedule(context.scenario.planners().planMs() * 1_000, () -> {
            sendPlans();
            schedulePlans();
        });
    }

    private void sendPlans() {
        for (Planner.AddressedPlan plan : planner.createPlans(localTime())) {
            SimulatedForwarder forwarder = forwarders.get(plan.forwarder());
            if (forwarder != null && context.events.now() >= outboundLostUntilMicros) {
                forwarder.receivePlan(plan.message(), context.drawDelay(zone, forwarder.zone()));
            }
        }
    }

    /** Accepts a report from a forwarder, which arrives after the network's delay. */
    void receiveReport(SimulatedForwarder from, ForwarderReport report) {
        if (context.events.now() < inboundLostUntilMicros) {
            return;
        }
        process.schedule(context.drawDelay(from.zone(), zone), () -> {
            forwarders.put(from.name(), from);
            planner.handleReport(localTime(), report);
        });
    }
}
