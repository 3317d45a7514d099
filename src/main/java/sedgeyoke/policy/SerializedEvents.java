package sedgeyoke.policy;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Hands a module its events one after another: what comes while one is being handled, from within the module's own
 * actions too, waits for its turn. For whoever hosts a {@link LoadBalancingPolicy}, on one thread.
 */
public final class SerializedEvents {
    private final Queue<Runnable> events = new ArrayDeque<>();
    private boolean handling;

    /** Handles an event now, or after those before it. */
    public void handle(Runnable event) {
        events.add(event);
        if (handling) {
            return;
        }
        handling = true;
        try {
            for (Runnable next = events.poll(); next != null; next = events.poll()) {
                next.run();
            }
        } finally {
            handling = false; // after an error too, or no event would ever be handled again
        }
    }
}
