package sedgeyoke.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import sedgeyoke.model.InvariantChecker;
import sedgeyoke.model.RequestClassModel;
import sedgeyoke.policy.LoadBalancingPolicy.Request;

/**
 * The clients, as an open-loop load: operations start as an {@link ArrivalProcess} says, independently of answers. Each
 * is sent as a request to a forwarder of the client's zone, and retried if it is rejected.
 */
final class SimulatedClients {
    private static final int MAX_RETRIES = 2;
    private static final long UNREACHABLE_BACKOFF_MICROS = 20_000;
    private static final long FIRST_BACKOFF_MICROS = 60_000;
    private static final long MIN_TIME_LEFT_MICROS = 10_000;
    private static final long NO_RETRY = -1;

    private final SimulationContext context;
    private final TimeSeries timeSeries;
    private final ArrivalProcess arrivals;
    private final SplittableRandom random;
    private final List<ZoneFrontend> frontends = new ArrayList<>();
    private boolean started;
    private long nextRequestNumber;
    private long nextKeyNumber;
    private long openRequests;

    /** The kinds of answer of a forwarder. */
    enum Answer {
        SERVED,
        /** Rejected; the client may retry. */
        REJECTED,
        FAILED
    }

    /** An operation of a client: one request and its retries. */
    private static final class Operation {
        private final RequestClassModel requestClass;
        private final ArrivalProcess.Arrival arrival;
        private final long startedAtMicros;
        private final String idempotencyKey;
        private int attempts;

        Operation(
                RequestClassModel requestClass,
                ArrivalProcess.Arrival arrival,
                long startedAtMicros,
                String idempotencyKey) {
            this.requestClass = requestClass;
            this.arrival = arrival;
            this.startedAtMicros = startedAtMicros;
            this.idempotencyKey = idempotencyKey;
        }

        long timeLeftMicros(long nowMicros) {
            return requestClass.clientTimeoutMs() * 1_000L - (nowMicros - startedAtMicros);
        }
    }

    /** The client's side of one request of an operation, sent to one forwarder. */
    final class ClientRequest {
        private final Operation operation;
        private final String id;
        private boolean ended;

        private ClientRequest(Operation operation, String id) {
            this.operation = operation;
            this.id = id;
        }

        int zone() {
            return operation.arrival.zone();
        }

        /** Handles an answer; {@code retryAfterMicros} is 0 if it has no Retry-After. */
        void answered(Answer answer, long retryAfterMicros) {
            if (ended) {
                return; // the connection was reset earlier
            }
            ended = true;
            openRequests--;
            long now = context.events.now();
            InvariantChecker.Answer outcome =
                    switch (answer) {
                        case SERVED -> InvariantChecker.Answer.SERVED;
                        case REJECTED -> InvariantChecker.Answer.REJECTED;
                        default -> InvariantChecker.Answer.FAILED;
                    };
            context.checker.requestAnswered(id, outcome, true, operation.startedAtMicros, now);
            timeSeries.answered(
                    operation.requestClass, outcome, now - operation.startedAtMicros, operation.startedAtMicros);
            if (answer == Answer.REJECTED) {
                retry(operation, drawBackoff(retryAfterMicros));
            }
        }

        void connectionLost() {
            if (!ended) {
                ended = true;
                openRequests--;
                context.checker.connectionLost(id, context.events.now());
            }
        }

        private long drawBackoff(long retryAfterMicros) {
            long backoffMicros =
                    (long) ((0.5 + random.nextDouble()) * (FIRST_BACKOFF_MICROS << (operation.attempts - 1)));
            return switch (context.scenario.traffic().retries()) {
                case NONE -> NO_RETRY;
                case AT_ONCE -> 1;
                case BACKOFF -> backoffMicros;
                case RETRY_AFTER -> retryAfterMicros > 0 ? retryAfterMicros : backoffMicros;
            };
        }
    }

    SimulatedClients(SimulationContext context, TimeSeries timeSeries) {
        this.context = context;
        this.timeSeries = timeSeries;
        this.arrivals = new ArrivalProcess(context, context.random.split());
        this.random = context.random.split();
        context.scenario.site().zones().forEach(zone -> frontends.add(new ZoneFrontend(context, random)));
    }

    void addForwarder(SimulatedForwarder forwarder) {
        frontends.get(forwarder.zone()).add(forwarder);
    }

    void start() {
        started = true;
        arrivals.start();
        scheduleNextBurst();
    }

    /** Stops starting operations; those that are open continue. */
    void stop() {
        started = false;
    }

    long openRequests() {
        return openRequests;
    }

    void multiplyZoneLoad(int zone, double factor) {
        arrivals.multiplyZoneLoad(zone, factor);
    }

    private void scheduleNextBurst() {
        if (!started) {
            return;
        }
        double totalWeight = arrivals.totalWeight();
        context.events.schedule(arrivals.drawDelayToNextBurst(totalWeight), () -> {
            for (int i = 0; i < arrivals.burstSize() && started; i++) {
                startOperation(arrivals.drawArrival(totalWeight));
            }
            scheduleNextBurst();
        });
    }

    private void startOperation(ArrivalProcess.Arrival arrival) {
        long now = context.events.now();
        RequestClassModel requestClass = context.scenario.site().classes().get(arrival.classIndex());
        context.checker.requestOffered(requestClass);
        timeSeries.started(requestClass, now);
        String idempotencyKey = requestClass.keyed() ? "k" + nextKeyNumber++ : null;
        send(new Operation(requestClass, arrival, now, idempotencyKey));
    }

    private void send(Operation operation) {
        SimulatedForwarder forwarder = frontends.get(operation.arrival.zone()).choose();
        if (forwarder == null) {
            retry(operation, UNREACHABLE_BACKOFF_MICROS);
            return;
        }
        operation.attempts++;
        if (!forwarder.isRunning()) { // the forwarder's host refuses the connection
            retry(operation, UNREACHABLE_BACKOFF_MICROS);
            return;
        }
        sendTo(forwarder, operation);
    }

    private void sendTo(SimulatedForwarder forwarder, Operation operation) {
        long now = context.events.now();
        String id = Long.toString(nextRequestNumber++, 36);
        long timeLeftMicros = Math.max(MIN_TIME_LEFT_MICROS, operation.timeLeftMicros(now));
        timeLeftMicros = timeLeftMicros / 1_000 * 1_000; // the request header carries whole milliseconds
        context.checker.requestSent(
                id, operation.requestClass, operation.idempotencyKey, forwarder.name(), now, now + timeLeftMicros);
        openRequests++;
        ClientRequest clientRequest = new ClientRequest(operation, id);
        SimulatedExchange exchange = new SimulatedExchange(
                new Request(
                        id,
                        operation.arrival.classIndex(),
                        0,
                        operation.arrival.key(),
                        0,
                        timeLeftMicros,
                        !operation.requestClass.safe(),
                        operation.attempts > 1),
                operation.idempotencyKey,
                clientRequest);
        context.events.schedule(context.drawDelay(operation.arrival.zone(), forwarder.zone()), () -> {
            if (forwarder.isRunning()) {
                forwarder.requestReceived(exchange);
            } else {
                clientRequest.connectionLost();
            }
        });
    }

    /** Retries after a backoff, unless the backoff is {@link #NO_RETRY}, or no retries or no time are left. */
    private void retry(Operation operation, long backoffMicros) {
        long timeLeftMicros = operation.timeLeftMicros(context.events.now()) - backoffMicros;
        if (backoffMicros >= 0 && operation.attempts <= MAX_RETRIES && timeLeftMicros > MIN_TIME_LEFT_MICROS) {
            context.events.schedule(backoffMicros, () -> send(operation));
        }
    }
}
