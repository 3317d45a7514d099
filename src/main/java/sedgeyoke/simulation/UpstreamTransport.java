package sedgeyoke.simulation;

import sedgeyoke.model.UpstreamModel;
import sedgeyoke.policy.LoadBalancingPolicy.Limits;
import sedgeyoke.policy.LoadBalancingPolicy.LoadReport;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;

/**
 * Carries a forwarder's attempts and health checks to upstreams, and their results back: connections, handshakes,
 * delays and losses.
 */
final class UpstreamTransport implements SimulatedAttempt.BreakListener {
    /** Handles the result of an attempt once it has reached the forwarder. */
    interface ResultHandler {
        /** Called at the end of an attempt; {@code answer} is null unless the upstream has answered. */
        void attemptEnded(SimulatedAttempt attempt, Outcome outcome, UpstreamModel.Answer answer);
    }

    /** Handles the result of a health check once it has reached the forwarder. */
    interface HealthCheckHandler {
        /** Called at the end of a health check; {@code load} is null unless the upstream has answered. */
        void completed(Outcome outcome, LoadReport load);
    }

    private final SimulationContext context;
    private final SimulatedUpstreams upstreams;
    private final SimulatedProcess forwarder;
    private final int zone;
    private final long connectTimeoutMicros;
    private final ResultHandler results;
    private final SimulatedConnectionPool pool;
    private long attempts;
    private long handshakes;
    private long crossZoneAttempts;

    UpstreamTransport(
            SimulationContext context,
            SimulatedUpstreams upstreams,
            SimulatedProcess forwarder,
            int zone,
            Limits limits,
            ResultHandler results) {
        this.context = context;
        this.upstreams = upstreams;
        this.forwarder = forwarder;
        this.zone = zone;
        this.connectTimeoutMicros = limits.connectTimeoutMicros();
        this.results = results;
        this.pool = new SimulatedConnectionPool(context.events, limits.idleTimeoutMicros());
    }

    /** The number of attempts sent. */
    long attempts() {
        return attempts;
    }

    /** The number of connections opened, including failed ones. */
    long handshakes() {
        return handshakes;
    }

    /** The number of attempts sent to another zone. */
    long crossZoneAttempts() {
        return crossZoneAttempts;
    }

    void closeIdle(int address) {
        pool.closeIdle(address);
    }

    void closeAllIdle() {
        pool.closeAll();
    }

    /** Sends an attempt on an idle connection, or on a new one. */
    void send(SimulatedAttempt attempt, SimulatedDiscovery.Endpoint target) {
        attempts++;
        int targetZone = target.upstream().zone();
        if (targetZone != zone) {
            crossZoneAttempts++;
        }
        SimulatedConnection idle = pool.acquire(attempt.address());
        if (idle != null) {
            write(attempt, idle);
        } else {
            handshakes++;
            connect(attempt, targetZone);
        }
    }

    private void connect(SimulatedAttempt attempt, int targetZone) {
        SimulatedUpstream upstream = upstreams.at(attempt.address());
        int maxConnections = context.scenario.network().maxConnections();
        if (upstream == null || (maxConnections > 0 && upstream.connections() >= maxConnections)) {
            scheduleEnd(attempt, 2 * context.drawDelay(zone, targetZone), Outcome.CONNECT_FAILED, null);
        } else if (upstream.model().unresponsive() || context.isPartitioned(zone, targetZone)) {
            scheduleEnd(attempt, connectTimeoutMicros, Outcome.CONNECT_FAILED, null);
        } else {
            context.events.schedule(
                    2 * context.drawDelay(zone, targetZone),
                    () -> forwarder.execute(attempt.forwarderIncarnation(), () -> connected(attempt)));
        }
    }

    private void connected(SimulatedAttempt attempt) {
        if (attempt.ended()) {
            return;
        }
        SimulatedUpstream upstream = upstreams.at(attempt.address());
        if (upstream == null) { // it was removed during the handshake
            scheduleEnd(attempt, context.drawDelay(zone, zone), Outcome.RESET, null);
            attempt.writeToRemovedUpstream();
        } else {
            write(attempt, new SimulatedConnection(upstream));
        }
    }

    private void write(SimulatedAttempt attempt, SimulatedConnection connection) {
        attempt.write(connection);
        SimulatedUpstream upstream = connection.upstream();
        if (!context.isPartitioned(zone, upstream.zone())) {
            context.events.schedule(
                    context.drawDelay(zone, upstream.zone()), () -> requestReceived(attempt, connection));
        }
    }

    private void requestReceived(SimulatedAttempt attempt, SimulatedConnection connection) {
        if (!connection.reachesSameProcess()) {
            return; // the reset of the connection is already being reported
        }
        SimulatedExchange exchange = attempt.exchange();
        SimulatedUpstream upstream = connection.upstream();
        upstream.requestReceived();
        upstream.model()
                .receive(
                        exchange.id(),
                        exchange.request().affinityKey(),
                        exchange.idempotencyKey(),
                        answer -> answered(attempt, upstream, answer));
    }

    private void answered(SimulatedAttempt attempt, SimulatedUpstream upstream, UpstreamModel.Answer answer) {
        if (context.isPartitioned(upstream.zone(), zone) || context.drawAnswerLoss()) {
            return;
        }
        upstream.attemptEnded(attempt);
        if (context.drawConnectionReset()) {
            attempt.connectionBroken();
            return;
        }
        scheduleEnd(attempt, context.drawDelay(upstream.zone(), zone), outcome(answer), answer);
    }

    private static Outcome outcome(UpstreamModel.Answer answer) {
        return switch (answer.kind()) {
            case DONE -> Outcome.OK;
            case REJECTED -> Outcome.REJECTED;
            default -> Outcome.ERROR;
        };
    }

    @Override
    public void connectionBroken(SimulatedAttempt attempt) {
        scheduleEnd(attempt, context.drawDelay(attempt.upstream().zone(), zone), Outcome.RESET, null);
    }

    private void scheduleEnd(SimulatedAttempt attempt, long delayMicros, Outcome outcome, UpstreamModel.Answer answer) {
        context.events.schedule(
                delayMicros,
                () -> forwarder.execute(
                        attempt.forwarderIncarnation(), () -> results.attemptEnded(attempt, outcome, answer)));
    }

    /** Returns an ended attempt's connection to the pool if it can be reused; else closes it. */
    void releaseConnection(SimulatedAttempt attempt, boolean answered) {
        SimulatedConnection reusable = answered ? attempt.detachConnection() : null;
        if (reusable != null) {
            pool.release(attempt.address(), reusable);
        } else {
            attempt.closeConnection();
        }
    }

    /** Sends a health check, which bypasses the upstream's queue; it times out if there is no target. */
    void checkHealth(SimulatedDiscovery.Endpoint target, HealthCheckHandler handler) {
        int incarnation = forwarder.incarnation();
        SimulatedUpstream upstream = target == null ? null : upstreams.at(target.address());
        int targetZone = target == null ? zone : target.upstream().zone();
        long delayMicros = context.drawDelay(zone, targetZone);
        context.events.schedule(delayMicros, () -> {
            boolean answers = upstream != null && !upstream.model().unresponsive();
            Outcome outcome = answers ? Outcome.OK : Outcome.TIMEOUT;
            LoadReport load = answers ? LoadReports.ofHealthCheck(upstream.model()) : null;
            context.events.schedule(
                    delayMicros, () -> forwarder.execute(incarnation, () -> handler.completed(outcome, load)));
        });
    }
}
