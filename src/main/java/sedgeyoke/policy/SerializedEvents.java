package sedgeyoke.policy;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Runs events one after another on one thread. An event that arrives while another one runs, even if an action of that
 * one caused it, is queued. Each host of a {@link LoadBalancingPolicy} needs this, as policies are not re-entrant.
 */
public final class SerializedEvents {
    private final Queue<Runnable> events = new ArrayDeque<>();
    private boolean handling;

    /** Runs an event now, or after those queued before it. */
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
            handling = false; // also after an exception, or no later event would run
        }
    }
}
