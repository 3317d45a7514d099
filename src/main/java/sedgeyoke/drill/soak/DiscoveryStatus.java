package sedgeyoke.drill.soak;

/** Whether discovery is silent, and when a node last changed. Thread-safe. */
final class DiscoveryStatus {
    /** The time after which every balancer has the latest change; a silence must not begin earlier. */
    private static final long PROPAGATION_NANOS = 1_500_000_000;

    private long lastChangeNanos;
    private boolean silent;

    /** Records that a node's state is about to change. */
    synchronized void nodeChanges() {
        lastChangeNanos = System.nanoTime();
    }

    /** Begins a silence unless one is active or balancers may lack a change; returns whether it began. */
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
