package sedgeyoke.simulation;

import java.util.List;
import java.util.function.Consumer;
import sedgeyoke.model.UpstreamModel;

/** Injects a scenario's faults at their times, and ends them. */
final class FaultInjector {
    private static final long SECOND = 1_000_000;
    /** Time from the start of a forwarder's process until it accepts requests, as in the real program. */
    private static final long FORWARDER_START_MICROS = 1_200_000;
    /** Time from SIGTERM to SIGKILL: the longest request deadline that has to be met, plus 0.7 s. */
    private static final long SHUTDOWN_TIMEOUT_MICROS = 3_700_000;

    private final SimulationContext context;
    private final SimulatedUpstreams upstreams;
    private final SimulatedDiscovery discovery;
    private final SimulatedClients clients;
    private final List<SimulatedForwarder> forwarders;
    private final List<SimulatedPlanner> planners;

    FaultInjector(
            SimulationContext context,
            SimulatedUpstreams upstreams,
            SimulatedDiscovery discovery,
            SimulatedClients clients,
            List<SimulatedForwarder> forwarders,
            List<SimulatedPlanner> planners) {
        this.context = context;
        this.upstreams = upstreams;
        this.discovery = discovery;
        this.clients = clients;
        this.forwarders = forwarders;
        this.planners = planners;
    }

    /** Schedules all repetitions of a fault. */
    void schedule(Scenario.Fault fault) {
        for (int i = 0; i < Math.max(1, fault.count()); i++) {
            int repetition = i;
            double atSeconds = fault.startSeconds() + i * fault.intervalSeconds();
            context.events.schedule((long) (atSeconds * SECOND), () -> inject(new Injection(fault, repetition)));
        }
    }

    /** One repetition of a fault. */
    private final class Injection {
        private final Scenario.Fault fault;
        private final int repetition;

        Injection(Scenario.Fault fault, int repetition) {
            this.fault = fault;
            this.repetition = repetition;
        }

        double value() {
            return fault.value();
        }

        long durationMicros() {
            return (long) (fault.durationSeconds() * SECOND);
        }

        long endMicros() {
            return context.events.now() + durationMicros();
        }

        /** Schedules an action for the end of the fault; a fault without a duration does not end. */
        void atEnd(Runnable action) {
            atEnd(0, action);
        }

        /** Schedules an action for a delay after the end of the fault. */
        void atEnd(long delayMicros, Runnable action) {
            if (durationMicros() > 0) {
                context.events.schedule(durationMicros() + delayMicros, action);
            }
        }

        /** Chooses one of the targets; the list must not be empty. */
        <T> T choose(List<T> targets) {
            return targets.get(chooseNumber(targets.size()));
        }

        int chooseZone() {
            return chooseNumber(context.scenario.site().zones().size());
        }

        private int chooseNumber(int bound) {
            return fault.hasRandomTarget()
                    ? context.faultRandom.nextInt(bound)
                    : Math.floorMod(fault.target() + repetition, bound);
        }

        /** Applies an action to the target, a random running upstream or the one by number, unless it was removed. */
        void onUpstream(Consumer<SimulatedUpstream> action) {
            List<SimulatedUpstream> candidates = fault.hasRandomTarget() ? upstreams.running() : upstreams.all();
            if (candidates.isEmpty()) {
                return;
            }
            SimulatedUpstream upstream = choose(candidates);
            if (!upstream.removed()) {
                action.accept(upstream);
            }
        }

        /** Applies an action to a planner; does nothing without planners, so that scenarios can share their faults. */
        void onPlanner(Consumer<SimulatedPlanner> action) {
            if (!planners.isEmpty()) {
                action.accept(choose(planners));
            }
        }
    }

    private void inject(Injection injection) {
        switch (injection.fault.kind()) {
            case RESTART_NODE -> injection.onUpstream(upstreams::restart);
            case DRAIN_NODE -> injection.onUpstream(
                    upstream -> upstreams.drain(upstream, (long) (injection.value() * SECOND)));
            case VANISH_NODE -> injection.onUpstream(upstream -> stopResponding(injection, upstream));
            case REPLACE_NODE -> injection.onUpstream(upstream -> upstreams.replace(upstream, false));
            case REPLACE_NODE_IN_PLACE -> injection.onUpstream(upstream -> upstreams.replace(upstream, true));
            case SLOW_NODE -> injection.onUpstream(upstream -> slowDown(injection, upstream));
            case ERRORS_FAST -> injection.onUpstream(
                    upstream -> failRequests(injection, upstream, UpstreamModel.FailureMode.FAST));
            case ERRORS_SLOW -> injection.onUpstream(
                    upstream -> failRequests(injection, upstream, UpstreamModel.FailureMode.SLOW));
            case LOSE_ZONE -> upstreams
                    .runningInZone(injection.chooseZone())
                    .forEach(upstream -> stopResponding(injection, upstream));
            case CUT_ZONE -> partitionZone(injection, injection.chooseZone());
            case ZONE_LOAD -> multiplyZoneLoad(injection, injection.chooseZone());
            case LOSE_ANSWERS -> loseAnswers(injection);
            case RESET_CONNECTIONS -> resetConnections(injection);
            case DISCOVERY_DOWN -> stopDiscovery(injection);
            case KILL_FORWARDER -> killForwarder(injection, injection.choose(forwarders));
            case RESTART_FORWARDER -> restartForwarder(injection.choose(forwarders));
            case PAUSE_FORWARDER -> injection.choose(forwarders).pauseUntil(injection.endMicros());
            case KILL_PLANNER -> injection.onPlanner(planner -> killPlanner(injection, planner));
            case PAUSE_PLANNER -> injection.onPlanner(planner -> planner.pauseUntil(injection.endMicros()));
            case CUT_PLANNER_OUT -> injection.onPlanner(planner -> planner.loseOutboundUntil(injection.endMicros()));
            case CUT_PLANNER_IN -> injection.onPlanner(planner -> planner.loseInboundUntil(injection.endMicros()));
            default -> throw new IllegalStateException("unknown kind of fault " + injection.fault.kind());
        }
    }

    // ---- Upstreams -----------------------------------------------------------------------------------

    private void stopResponding(Injection injection, SimulatedUpstream upstream) {
        upstreams.stopResponding(upstream);
        injection.atEnd(() -> upstreams.restart(upstream));
    }

    private static void slowDown(Injection injection, SimulatedUpstream upstream) {
        upstream.model().slowDown(injection.value());
        injection.atEnd(() -> upstream.model().slowDown(1));
    }

    private static void failRequests(Injection injection, SimulatedUpstream upstream, UpstreamModel.FailureMode mode) {
        upstream.model().setFailureMode(mode);
        injection.atEnd(() -> upstream.model().setFailureMode(UpstreamModel.FailureMode.NONE));
    }

    // ---- Zones, network, discovery -------------------------------------------------------------------

    private void partitionZone(Injection injection, int zone) {
        context.setPartitioned(zone, true);
        injection.atEnd(() -> context.setPartitioned(zone, false));
    }

    private void multiplyZoneLoad(Injection injection, int zone) {
        clients.multiplyZoneLoad(zone, injection.value());
        injection.atEnd(() -> clients.multiplyZoneLoad(zone, 1 / injection.value()));
    }

    private void loseAnswers(Injection injection) {
        context.setAnswerLossRate(injection.value());
        injection.atEnd(() -> context.setAnswerLossRate(0));
    }

    private void resetConnections(Injection injection) {
        context.setConnectionResetRate(injection.value());
        injection.atEnd(() -> context.setConnectionResetRate(0));
    }

    private void stopDiscovery(Injection injection) {
        discovery.setDown(true);
        injection.atEnd(() -> discovery.setDown(false));
    }

    // ---- Forwarders and planners ---------------------------------------------------------------------

    private static void killForwarder(Injection injection, SimulatedForwarder forwarder) {
        if (forwarder.isRunning()) {
            forwarder.kill();
            injection.atEnd(FORWARDER_START_MICROS, forwarder::restart);
        }
    }

    private void restartForwarder(SimulatedForwarder forwarder) {
        forwarder.shutDown(
                SHUTDOWN_TIMEOUT_MICROS, () -> context.events.schedule(FORWARDER_START_MICROS, forwarder::restart));
    }

    private static void killPlanner(Injection injection, SimulatedPlanner planner) {
        if (planner.isRunning()) {
            planner.kill();
            injection.atEnd(planner::start);
        }
    }
}
