package sedgeyoke.model;

/** The checker's record of one request; a client's retry has an id and a record of its own. */
final class ObservedRequest {
    private static final long NOT_DISCONNECTED = 0;

    private final String id;
    private final RequestClassModel requestClass;
    private final String idempotencyKey;
    private final long sentMicros;
    private final long deadlineMicros;
    private String balancer;
    private InvariantChecker.Answer answer;
    private boolean reachedNode;
    private long disconnectedMicros = NOT_DISCONNECTED;
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

    /** Null for a request without an idempotency key. */
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

    /** The final result as the client sees it; null while the request is open. */
    InvariantChecker.Answer answer() {
        return answer;
    }

    void end(InvariantChecker.Answer finalAnswer) {
        answer = finalAnswer;
    }

    /** Whether the client has a response; false if its connection was lost. */
    boolean hasResponse() {
        return answer != null && answer != InvariantChecker.Answer.NONE;
    }

    /** Whether the client still waits for an answer. */
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
        return disconnectedMicros != NOT_DISCONNECTED;
    }

    /** When the client closed its connection before an answer; {@link #NOT_DISCONNECTED} if it did not. */
    long disconnectedMicros() {
        return disconnectedMicros;
    }

    void disconnect(long nowMicros) {
        disconnectedMicros = nowMicros;
    }

    /** How many times the request took effect. */
    int effects() {
        return effects;
    }

    void addEffect() {
        effects++;
    }

    /** Whether the request took effect although its client got a rejection, which promises that it did not. */
    boolean executedThoughRejected() {
        return answer == InvariantChecker.Answer.REJECTED && effects > 0 && !requestClass.safe();
    }
}
