package sedgeyoke.simulation;

import java.util.List;
import java.util.function.Consumer;
import sedgeyoke.model.UpstreamModel;

/** Injects a scenario's faults at their times, and ends them. */
final class FaultInjector {
    private static final long SECOND = 1_000_000;
    /** A forwarder accepts requests so long after its process was started, as the program does. */
    private static final long FORWARDER_START_MICROS = 1_200_000;
    /** SIGKILL follows SIGTERM after the longest deadline that counts, and 0.7 s. */
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

        /** Runs the action that ends the fault; a fault without a duration does not end. */
        void atEnd(Runnable action) {
            atEnd(0, action);
        }

        /** Runs an action so long after the end of the fault. */
        void atEnd(long delayMicros, Runnable action) {
            if (durationMicros() > 0) {
                context.events.schedule(durationMicros() + delayMicros, action);
            }
        }

        /** Chooses one of the targets, of which there is at least one. */
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

        /** Chooses an upstream that is not removed, if there is one: at random among those that run, or by number. */
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
    }

    private void inject(Injection injection) {
        switch (injection.fault.kind()) {
            case RESTART_NODE, DRAIN_NODE, VANISH_NODE, REPLACE_NODE, REPLACE_NODE_IN_PLACE -> injection.onUpstream(
                    upstream -> changeUpstream(injection, upstream));
            case SLOW_NODE, ERRORS_FAST, ERRORS_SLOW -> injection.onUpstream(
                    upstream -> degradeUpstream(injection, upstream));
            case LOSE_ZONE, CUT_ZONE, ZONE_LOAD -> injectZoneFault(injection, injection.chooseZone());
            case LOSE_ANSWERS, RESET_CONNECTIONS, DISCOVERY_DOWN -> injectGlobalFault(injection);
            case KILL_FORWARDER, RESTART_FORWARDER, PAUSE_FORWARDER -> injectForwarderFault(
                    injection, injection.choose(forwarders));
            case KILL_PLANNER, PAUSE_PLANNER, CUT_PLANNER_OUT, CUT_PLANNER_IN -> {
                if (!planners.isEmpty()) { // variants without planners run the same faults
                    injectPlannerFault(injection, injection.choose(planners));
                }
            }
            default -> throw unexpectedKind(injection);
        }
    }

    private void changeUpstream(Injection injection, SimulatedUpstream upstream) {
        switch (injection.fault.kind()) {
            case RESTART_NODE -> upstreams.restart(upstream);
            case DRAIN_NODE -> upstreams.drain(upstream, (long) (injection.value() * SECOND));
            case VANISH_NODE -> stopUpstream(injection, upstream);
            case REPLACE_NODE -> upstreams.replace(upstream, false);
            case REPLACE_NODE_IN_PLACE -> upstreams.replace(upstream, true);
            default -> throw unexpectedKind(injection);
        }
    }

    private void stopUpstream(Injection injection, SimulatedUpstream upstream) {
        upstreams.stopResponding(upstream);
        injection.atEnd(() -> upstreams.restart(upstream));
    }

    private void degradeUpstream(Injection injection, SimulatedUpstream upstream) {
        UpstreamModel model = upstream.model();
        switch (injection.fault.kind()) {
            case SLOW_NODE -> {
                model.slowDown(injection.value());
                injection.atEnd(() -> model.slowDown(1));
            }
            case ERRORS_FAST -> {
                model.setFailureMode(UpstreamModel.FailureMode.FAST);
                injection.atEnd(() -> model.setFailureMode(UpstreamModel.FailureMode.NONE));
            }
            case ERRORS_SLOW -> {
                model.setFailureMode(UpstreamModel.FailureMode.SLOW);
                injection.atEnd(() -> model.setFailureMode(UpstreamModel.FailureMode.NONE));
            }
            default -> throw unexpectedKind(injection);
        }
    }

    private void injectZoneFault(Injection injection, int zone) {
        switch (injection.fault.kind()) {
            case LOSE_ZONE -> upstreams.runningInZone(zone).forEach(upstream -> stopUpstream(injection, upstream));
            case CUT_ZONE -> {
                context.setPartitioned(zone, true);
                injection.atEnd(() -> context.setPartitioned(zone, false));
            }
            case ZONE_LOAD -> {
                clients.multiplyZoneLoad(zone, injection.value());
                injection.atEnd(() -> clients.multiplyZoneLoad(zone, 1 / injection.value()));
            }
            default -> throw unexpectedKind(injection);
        }
    }

    private void injectGlobalFault(Injection injection) {
        switch (injection.fault.kind()) {
            case LOSE_ANSWERS -> {
                context.setAnswerLossRate(injection.value());
                injection.atEnd(() -> context.setAnswerLossRate(0));
            }
            case RESET_CONNECTIONS -> {
                context.setConnectionResetRate(injection.value());
                injection.atEnd(() -> context.setConnectionResetRate(0));
            }
            case DISCOVERY_DOWN -> {
                discovery.setDown(true);
                injection.atEnd(() -> discovery.setDown(false));
            }
            default -> throw unexpectedKind(injection);
        }
    }

    private void injectForwarderFault(Injection injection, SimulatedForwarder forwarder) {
        switch (injection.fault.kind()) {
            case KILL_FORWARDER -> {
                if (forwarder.isRunning()) {
                    forwarder.kill();
                    injection.atEnd(FORWARDER_START_MICROS, forwarder::restart);
                }
            }
            case RESTART_FORWARDER -> forwarder.shutDown(
                    SHUTDOWN_TIMEOUT_MICROS, () -> context.events.schedule(FORWARDER_START_MICROS, forwarder::restart));
            case PAUSE_FORWARDER -> forwarder.pauseUntil(injection.endMicros());
            default -> throw unexpectedKind(injection);
        }
    }

    private void injectPlannerFault(Injection injection, SimulatedPlanner planner) {
        switch (injection.fault.kind()) {
            case KILL_PLANNER -> {
                if (planner.isRunning()) {
                    planner.kill();
                    injection.atEnd(planner::start);
                }
            }
            case PAUSE_PLANNER -> planner.pauseUntil(injection.endMicros());
            case CUT_PLANNER_OUT -> planner.loseOutboundUntil(injection.endMicros());
            case CUT_PLANNER_IN -> planner.loseInboundUntil(injection.endMicros());
            default -> throw unexpectedKind(injection);
        }
    }

    private static IllegalStateException unexpectedKind(Injection injection) {
        return new IllegalStateException(injection.fault.kind().toString());
    }
}
