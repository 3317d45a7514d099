package sedgeyoke.simulation;

import java.util.ArrayList;
import java.util.List;
import sedgeyoke.policy.LoadBalancingPolicy.Request;

/** A client's request at a forwarder, until it is answered and its last attempt has ended. */
final class SimulatedExchange {
    private final Request request;
    private final String idempotencyKey;
    private final SimulatedClients.ClientRequest client;
    private final List<SimulatedAttempt> attempts = new ArrayList<>(1);
    private long deadlineMicros;
    private boolean answered;

    /** {@code idempotencyKey} is null for requests without one. */
    SimulatedExchange(Request request, String idempotencyKey, SimulatedClients.ClientRequest client) {
        this.request = request;
        this.idempotencyKey = idempotencyKey;
        this.client = client;
    }

    Request request() {
        return request;
    }

    String id() {
        return request.id();
    }

    String idempotencyKey() {
        return idempotencyKey;
    }

    /** The client request that gets the answer. */
    SimulatedClients.ClientRequest client() {
        return client;
    }

    List<SimulatedAttempt> attempts() {
        return attempts;
    }

    void setDeadline(long timeMicros) {
        deadlineMicros = timeMicros;
    }

    long deadlineMicros() {
        return deadlineMicros;
    }

    void markAnswered() {
        answered = true;
    }

    boolean answered() {
        return answered;
    }

    boolean isComplete() {
        return answered && attempts.stream().allMatch(SimulatedAttempt::ended);
    }
}
