package sedgeyoke.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import sedgeyoke.policy.LoadBalancingPolicy.Effect;

/** In which order requests wait for capacity. */
class RequestQueueTest {
    private final PolicyFixtures policy = new PolicyFixtures();
    private final RequestQueue queue = new RequestQueue();

    @Test
    void theHighestPriorityComesFirstAndOfEqualOnesTheLatest() {
        RequestState low = queued(1);
        RequestState high = queued(2);
        RequestState laterHigh = queued(2);
        assertEquals(List.of(laterHigh, high, low), queue.snapshot());
        assertSame(laterHigh, queue.first());
        assertEquals(3, queue.size());
    }

    @Test
    void theNextRequestIsFoundAfterOneThatHasLeft() {
        RequestState low = queued(1);
        RequestState high = queued(2);
        queue.remove(high);
        assertSame(low, queue.next(high));
        assertNull(queue.next(low));
    }

    @Test
    void aSnapshotIsUnaffectedByLaterChanges() {
        RequestState request = queued(1);
        List<RequestState> snapshot = queue.snapshot();
        queue.remove(request);
        assertEquals(List.of(request), snapshot);
        assertTrue(queue.isEmpty());
    }

    private RequestState queued(double priority) {
        RequestState request = policy.request(Effect.SAFE);
        request.priority = priority;
        queue.add(request);
        return request;
    }
}
