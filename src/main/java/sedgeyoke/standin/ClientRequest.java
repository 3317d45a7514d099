package sedgeyoke.standin;

import sedgeyoke.model.RequestClassModel;

/** A client's request, with what all of its attempts have in common. */
final class ClientRequest {
    private final RequestClassModel requestClass;
    private final int zone;
    private final long createdMicros;
    private final String affinityKey;
    /** Sent with every attempt, so that the request has its effect once; null for a class without such keys. */
    private final String idempotencyKey;

    private int attempts;

    ClientRequest(
            RequestClassModel requestClass, int zone, long createdMicros, String affinityKey, String idempotencyKey) {
        this.requestClass = requestClass;
        this.zone = zone;
        this.createdMicros = createdMicros;
        this.affinityKey = affinityKey;
        this.idempotencyKey = idempotencyKey;
    }

    /** One attempt, with an id of its own. */
    record Attempt(ClientRequest request, String id, long startMicros, long budgetMs) {
        long deadlineMicros() {
            return startMicros + budgetMs * 1_000;
        }
    }

    RequestClassModel requestClass() {
        return requestClass;
    }

    int zone() {
        return zone;
    }

    long createdMicros() {
        return createdMicros;
    }

    String affinityKey() {
        return affinityKey;
    }

    String idempotencyKey() {
        return idempotencyKey;
    }

    int attempts() {
        return attempts;
    }

    /** The remaining time of the client's timeout. */
    long remainingMs(long nowMicros) {
        return requestClass.clientTimeoutMs() - (nowMicros - createdMicros) / 1_000;
    }

    /** Begins an attempt. */
    Attempt startAttempt(String id, long nowMicros, long minBudgetMs) {
        attempts++;
        return new Attempt(this, id, nowMicros, Math.max(minBudgetMs, remainingMs(nowMicros)));
    }
}
