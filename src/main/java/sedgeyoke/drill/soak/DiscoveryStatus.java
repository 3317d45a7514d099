package sedgeyoke.drill.soak;

/** Whether discovery is silent, and when it had a change to announce. Any thread. */
final class DiscoveryStatus {
    /** After this time every balancer has the latest change; one that lacks it could not learn it in a silence. */
    private static final long PROPAGATION_NANOS = 1_500_000_000;

    private long lastChangeNanos;
    private boolean silent;

    /** A node's state is about to change. */
    synchronized void nodeChanges() {
        lastChangeNanos = System.nanoTime();
    }

    /** Begins a silence, unless there is one or balancers may lack a change; returns whether it did. */
    synchronized boolean beginSilence() {
        if (silent || System.nanoTime() - lastChangeNanos < PROPAGATION_NANOS) {
            return false;
        }
        silent = true;
        return true;
    }

    /** Ends the silence. */
    synchronized void endSilence() {
        silent = false;
    }

    synchronized boolean isSilent() {
        return silent;
    }
}
