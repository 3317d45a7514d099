package sedgeyoke.proxy;

import java.util.concurrent.locks.LockSupport;

/**
 * What the tests of race conditions (docs/design/race-conditions.md) share. Each sets the order of the events:
 * by a server that waits for a latch, or by a loop that is paused until the other side has done its part.
 */
abstract class RaceConditionsTestBase {
    static final long NANOS_PER_MILLI = 1_000_000;
    /** The policy of the balancer that was started last. */
    ScriptedPolicy policy;

    /** Starts a balancer whose policy does what the test says. */
    Loopback start(Loopback.Setup setup) throws Exception {
        return setup.policy(actions -> {
                    policy = new ScriptedPolicy(actions);
                    return policy;
                })
                .start();
    }

    /**
     * Occupies the calling thread, which is the event loop or one of a peer, until that {@link System#nanoTime}. This
     * is no wait for an event: that the thread is late by this time is what is tested.
     */
    static void pauseUntil(long deadlineNanos) {
        while (System.nanoTime() < deadlineNanos) {
            LockSupport.parkNanos(NANOS_PER_MILLI);
        }
    }
}
