package sedgeyoke.proxy.discovery;

import sedgeyoke.policy.LoadBalancingPolicy.Settings;
import sedgeyoke.proxy.common.TimeUnits;

/**
 * Timeouts of calls to discovery, in microseconds. Together they bound how long a draining upstream may still receive
 * requests.
 *
 * <p><b>The bound.</b> The grace period of a drain starts when discovery learns of the drain, not when this process
 * receives the list. The delay between the two is at most the sum of:
 *
 * <ol>
 *   <li>{@code watchWaitMicros}: the rest of the watch whose answer, with the change, is lost;
 *   <li>{@code silenceMicros} for each consecutive lost answer, until discovery is called again ({@link
 *       DiscoveryClient});
 *   <li>the time by which the event loop runs late.
 * </ol>
 *
 * <p>Where lists are pushed, three lost answers fit into four fifths of the grace period: {@code watchWait + 3 *
 * silence <= 4/5 grace}, which is 200 + 3 * 200 = 800 ms for a grace period of 1 s. The remaining fifth is for the
 * event loop. For grace periods below 0.5 s the minimum times add up to more than that. Where lists are polled, changes
 * may be unknown for 6 s: with two lost answers, the delay is 2000 + 1000 + 1500 = 4500 ms.
 *
 * <p>Not part of the sum, because they add to it only in combination with other faults: a lost complete list of some
 * thousand upstreams ({@code completeListSilenceMicros}), the backoff after a failed poll ({@code EndpointSubscription}
 * of the policy), and the second answer that {@link RevisionTracker} requires after an older complete list.
 *
 * <p>Two parts elsewhere complete the bound:
 *
 * <ul>
 *   <li>Once {@code EndpointTable} has the list, nothing more is written to the upstream: {@code
 *       UpstreamConnectionPool} checks each attempt just before writing it and withholds it as {@code
 *       WithheldReason.UPSTREAM_NOT_READY}.
 *   <li>A process that starts with an older list forwards nothing before the first answer of discovery, for at most
 *       {@link InitialListBarrier#MAX_WAIT_MICROS}.
 * </ul>
 *
 * @param watchWaitMicros how long a watch waits for changes
 * @param firstSilenceMicros how long the very first answer, for which requests wait, may take before discovery is
 *     called on a second connection
 * @param silenceMicros how long a later answer may take beyond {@code watchWaitMicros} before that
 * @param maxSilenceMicros the limit up to which {@code silenceMicros} grows while answers are missing
 * @param completeListSilenceMicros the same for a complete list, which is expensive where discovery is a shared service
 * @param overdueMicros how long an overdue answer is still awaited after that
 */
record DiscoveryTimings(
        long watchWaitMicros,
        long firstSilenceMicros,
        long silenceMicros,
        long maxSilenceMicros,
        long completeListSilenceMicros,
        long overdueMicros) {
    private static final long OVERDUE_MICROS = 5_000_000;

    private static final DiscoveryTimings POLLED =
            new DiscoveryTimings(2_000_000, 400_000, 1_000_000, 2_500_000, 2_500_000, OVERDUE_MICROS);

    private static final double SILENCE_GROWTH = 1.5;

    /** Where lists are pushed, the wait and the silence are each this fraction of the drain grace period. */
    private static final int PARTS_OF_GRACE = 5;

    private static final long MAX_PUSHED_MICROS = 200_000;
    private static final long MIN_WATCH_WAIT_MICROS = 50_000;
    /** An event loop that has only part of a core may itself be late by about as much. */
    private static final long MIN_SILENCE_MICROS = 100_000;

    /** A complete list of some thousand upstreams takes longer to read than changes: 0.1 ms per upstream at startup. */
    private static final int UPSTREAMS_READ_PER_MILLI = 10;

    /**
     * Returns the timings for these settings.
     *
     * @param pushed whether an agent on this machine pushes the lists
     * @param upstreams how many upstreams the configuration lists
     */
    static DiscoveryTimings of(Settings settings, boolean pushed, int upstreams) {
        return pushed ? pushed(settings.rules().drainGraceMicros(), upstreams) : POLLED;
    }

    private static DiscoveryTimings pushed(long drainGraceMicros, int upstreams) {
        // Whole milliseconds, the unit in which a watch states its wait.
        long partOfGraceMillis = drainGraceMicros / TimeUnits.MICROS_PER_MILLI / PARTS_OF_GRACE;
        long partOfGraceMicros = Math.min(MAX_PUSHED_MICROS, partOfGraceMillis * TimeUnits.MICROS_PER_MILLI);
        long silenceMicros = Math.max(MIN_SILENCE_MICROS, partOfGraceMicros);
        long readTimeMicros = upstreams / UPSTREAMS_READ_PER_MILLI * TimeUnits.MICROS_PER_MILLI;
        return new DiscoveryTimings(
                Math.max(MIN_WATCH_WAIT_MICROS, partOfGraceMicros),
                silenceMicros,
                silenceMicros,
                silenceMicros,
                silenceMicros + readTimeMicros,
                OVERDUE_MICROS);
    }

    /** The allowed silence after another missing answer. */
    long nextSilenceMicros(long currentMicros) {
        return Math.min(maxSilenceMicros, (long) ((double) currentMicros * SILENCE_GROWTH));
    }
}
