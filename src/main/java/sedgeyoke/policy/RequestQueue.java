package sedgeyoke.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/** The queue of requests that wait for capacity: highest priority first, and among equals the latest arrival first. */
final class RequestQueue {
    private final TreeSet<RequestState> requests =
            new TreeSet<>(Comparator.<RequestState>comparingDouble(request -> -request.priority)
                    .thenComparingLong(request -> -request.number));

    void add(RequestState request) {
        requests.add(request);
    }

    void remove(RequestState request) {
        requests.remove(request);
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    int size() {
        return requests.size();
    }

    /** The request to dispatch first; the queue must not be empty. */
    RequestState first() {
        return requests.first();
    }

    /** The request to dispatch after this one, which may have left the queue; null if there is none. */
    RequestState next(RequestState request) {
        return requests.higher(request);
    }

    /** A copy of the queue in its order, which later changes do not affect. */
    List<RequestState> snapshot() {
        return new ArrayList<>(requests);
    }
}
