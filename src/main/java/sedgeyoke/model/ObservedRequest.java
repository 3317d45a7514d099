package sedgeyoke.model;

/** What is known of one request of a client, with its own id; a client's retry is another request. */
final class ObservedRequest {
    private static final long CONNECTED = 0;

    private final String id;
    private final RequestClassModel requestClass;
    private final String idempotencyKey;
    private final long sentMicros;
    private final long deadlineMicros;
    private String balancer;
    private InvariantChecker.Answer answer;
    private boolean reachedNode;
    private long disconnectedMicros = CONNECTED;
    private int effects;

    /** A request that is being sent; {@code idempotencyKey} may be null. */
    ObservedRequest(
            String id,
            RequestClassModel requestClass,
            String idempotencyKey,
            String balancer,
            long sentMicros,
            long deadlineMicros) {
        this.id = id;
        this.requestClass = requestClass;
        this.idempotencyKey = idempotencyKey;
        this.balancer = balancer;
        this.sentMicros = sentMicros;
        this.deadlineMicros = deadlineMicros;
    }

    String id() {
        return id;
    }

    RequestClassModel requestClass() {
        return requestClass;
    }

    /** Null where the class has none. */
    String idempotencyKey() {
        return idempotencyKey;
    }

    long sentMicros() {
        return sentMicros;
    }

    long deadlineMicros() {
        return deadlineMicros;
    }

    /** The balancer that has the request now. */
    String balancer() {
        return balancer;
    }

    void moveTo(String otherBalancer) {
        balancer = otherBalancer;
    }

    /** How the client saw it end; null as long as it has not. */
    InvariantChecker.Answer answer() {
        return answer;
    }

    void end(InvariantChecker.Answer finalAnswer) {
        answer = finalAnswer;
    }

    /** Whether its client has a response: not if it ended by the loss of its connection. */
    boolean hasResponse() {
        return answer != null && answer != InvariantChecker.Answer.NONE;
    }

    /** Whether its client still waits for an answer. */
    boolean pending() {
        return answer == null && !clientDisconnected();
    }

    /** Whether an attempt has reached a node. */
    boolean reachedNode() {
        return reachedNode;
    }

    void markReachedNode() {
        reachedNode = true;
    }

    /** Whether the client closed its connection before an answer. */
    boolean clientDisconnected() {
        return disconnectedMicros != CONNECTED;
    }

    /** When the client closed its connection before an answer. */
    long disconnectedMicros() {
        return disconnectedMicros;
    }

    void disconnect(long nowMicros) {
        disconnectedMicros = nowMicros;
    }

    /** How often it was executed with an effect. */
    int effects() {
        return effects;
    }

    void addEffect() {
        effects++;
    }

    /** Whether its client got a rejection, which promises that nothing was executed, and something was. */
    boolean executedThoughRejected() {
        return answer == InvariantChecker.Answer.REJECTED && effects > 0 && !requestClass.safe();
    }
}
