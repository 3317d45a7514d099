package sedgeyoke.policy;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/** Holds requests until their last attempt has ended, and finds those that are out of time. */
final class RequestTable {
    private static final Comparator<RequestState> BY_DEADLINE = Comparator.<RequestState>comparingLong(
                    request -> request.deadlineMicros)
            .thenComparingLong(request -> request.number);

    private final Deadlines deadlines;
    private final Map<String, RequestState> requestsById = new HashMap<>();
    private final PriorityQueue<RequestState> byDeadline = new PriorityQueue<>(BY_DEADLINE);

    RequestTable(Deadlines deadlines) {
        this.deadlines = deadlines;
    }

    void add(RequestState request) {
        requestsById.put(request.request.id(), request);
        byDeadline.add(request);
    }

    Optional<RequestState> find(String id) {
        return Optional.ofNullable(requestsById.get(id));
    }

    /** Forgets a request once none of its attempts is outstanding. */
    void removeIfDone(RequestState request) {
        if (!request.hasOutstandingAttempt()) {
            requestsById.remove(request.request.id());
        }
    }

    /** Calls {@code expired} for each request that is out of time, unless it has ended or its response has started. */
    void expire(long nowMicros, Consumer<RequestState> expired) {
        while (!byDeadline.isEmpty()) {
            RequestState request = byDeadline.peek();
            if (!request.ended && !deadlines.isOutOfTime(request, nowMicros)) {
                return;
            }
            byDeadline.poll();
            if (!request.ended && !request.streaming) {
                expired.accept(request);
            }
        }
    }
}
