package sedgeyoke.proxy;

import sedgeyoke.policy.LoadBalancingPolicy.Settings;

/**
 * How long calls to discovery wait, in milliseconds.
 *
 * <p>A drain is announced when discovery has it, not when we have the list, so what counts is the sum: the rest of
 * a watch in whose answer the change is lost, and one silence for each answer that is lost. Where lists are pushed the
 * sum stays below the grace period of drains for three lost answers in a row:
 * {@code watchWait + 3 * silence <= 4/5 grace}. The remaining fifth is for an event loop that runs late. Where lists
 * are polled, changes may be unknown for 6 s: {@code 2000 + 1000 + 1500 = 4500} ms with two lost answers.
 *
 * @param watchWait how long a watch waits for changes
 * @param firstSilence how long the first answer of all may take before discovery is called on another connection as
 *     well: requests wait for it
 * @param silence how long a later answer may take beyond {@code watchWait} before that
 * @param maxSilence the longest that {@code silence} grows to while answers stay out
 * @param completeListSilence the same for a complete list, which is expensive where discovery is a shared service
 * @param overdue how long an answer is still awaited from then on
 */
record DiscoveryTimings(
        int watchWait, int firstSilence, int silence, int maxSilence, int completeListSilence, int overdue) {
    private static final int POLLED_FIRST_SILENCE = 400;
    private static final int POLLED_WATCH_WAIT = 2_000;
    private static final int POLLED_SILENCE = 1_000;
    private static final int POLLED_MAX_SILENCE = 2_500;
    private static final int POLLED_COMPLETE_LIST_SILENCE = 2_500;
    private static final double SILENCE_GROWTH = 1.5;

    /** Of the grace period of drains, where lists are pushed. */
    private static final int SHARE_OF_GRACE = 5;

    private static final int MAX_PUSHED = 200;
    private static final int MIN_WATCH_WAIT = 50;
    /** An event loop on a part of a core is late itself by about as much. */
    private static final int MIN_SILENCE = 100;

    /** A complete list of some thousand upstreams takes longer to read than changes: 0.1 ms for each, at a start. */
    private static final int UPSTREAMS_PER_MILLI = 10;

    private static final int OVERDUE = 5_000;

    /**
     * The timings for these settings.
     *
     * @param pushed whether an agent on this machine has the lists
     * @param upstreams how many upstreams the configuration knows
     */
    static DiscoveryTimings of(Settings settings, boolean pushed, int upstreams) {
        if (!pushed) {
            return new DiscoveryTimings(
                    POLLED_WATCH_WAIT,
                    POLLED_FIRST_SILENCE,
                    POLLED_SILENCE,
                    POLLED_MAX_SILENCE,
                    POLLED_COMPLETE_LIST_SILENCE,
                    OVERDUE);
        }
        int share = (int) Math.min(MAX_PUSHED, settings.rules().drainGraceMicros() / 1_000 / SHARE_OF_GRACE);
        int silence = Math.max(MIN_SILENCE, share);
        return new DiscoveryTimings(
                Math.max(MIN_WATCH_WAIT, share),
                silence,
                silence,
                silence,
                silence + upstreams / UPSTREAMS_PER_MILLI,
                OVERDUE);
    }

    /** The silence that is allowed after another answer that stayed out. */
    int nextSilence(int current) {
        return (int) Math.min(maxSilence, current * SILENCE_GROWTH);
    }
}
