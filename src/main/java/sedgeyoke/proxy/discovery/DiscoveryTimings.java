package sedgeyoke.proxy.discovery;

import sedgeyoke.policy.LoadBalancingPolicy.Settings;
import sedgeyoke.proxy.common.TimeUnits;

/**
 * How long calls to discovery wait, in microseconds. Together these times bound for how long a draining upstream may
 * still get requests.
 *
 * <p><b>The bound.</b> The grace period of a drain counts from the moment at which discovery has the drain, not from
 * when this process has the list. In between pass, at most:
 *
 * <ol>
 *   <li>{@code watchWaitMicros}: the rest of the watch in whose answer the change is lost;
 *   <li>{@code silenceMicros} for each answer in a row that is lost, until discovery is called again
 *       ({@link DiscoveryClient});
 *   <li>the time by which the event loop runs late.
 * </ol>
 *
 * <p>Where lists are pushed, three lost answers fit into four fifths of the grace period:
 * {@code watchWait + 3 * silence <= 4/5 grace}, for 1 s of grace 200 + 3 * 200 = 800 ms. The remaining fifth is for the
 * event loop. Below 0.5 s of grace the minimum times are larger than that. Where lists are polled, changes may be
 * unknown for 6 s: 2000 + 1000 + 1500 = 4500 ms with two lost answers.
 *
 * <p>Not in the sum, as they come on top of it only together with other faults: a lost complete list of some thousand
 * upstreams ({@code completeListSilenceMicros}), the backoff after a failed poll ({@code EndpointSubscription} of the
 * policy), and the second answer that {@link RevisionTracker} asks for after an older complete list.
 *
 * <p>Two parts elsewhere complete the bound:
 *
 * <ul>
 *   <li>Once {@code EndpointTable} has taken the list over, nothing more is written to the upstream:
 *       {@code UpstreamConnectionPool} checks each attempt in the moment of writing and withholds it as
 *       {@code WithheldReason.UPSTREAM_NOT_READY}.
 *   <li>A process that starts with an older list forwards nothing before the first answer of discovery, for at most
 *       {@link InitialListBarrier#MAX_WAIT_MICROS}.
 * </ul>
 *
 * @param watchWaitMicros how long a watch waits for changes
 * @param firstSilenceMicros how long the first answer of all may take before discovery is called on another connection
 *     as well: requests wait for it
 * @param silenceMicros how long a later answer may take beyond {@code watchWaitMicros} before that
 * @param maxSilenceMicros the longest that {@code silenceMicros} grows to while answers do not come
 * @param completeListSilenceMicros the same for a complete list, which is expensive where discovery is a shared service
 * @param overdueMicros how long an answer is still awaited from then on
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

    /** The wait and the silence are each this part of the grace period of drains, where lists are pushed. */
    private static final int PARTS_OF_GRACE = 5;

    private static final long MAX_PUSHED_MICROS = 200_000;
    private static final long MIN_WATCH_WAIT_MICROS = 50_000;
    /** An event loop on a part of a core is late itself by about as much. */
    private static final long MIN_SILENCE_MICROS = 100_000;

    /** A complete list of some thousand upstreams takes longer to read than changes: 0.1 ms for each, at a start. */
    private static final int UPSTREAMS_READ_PER_MILLI = 10;

    /**
     * The timings for these settings.
     *
     * @param pushed whether an agent on this machine has the lists
     * @param upstreams how many upstreams the configuration lists
     */
    static DiscoveryTimings of(Settings settings, boolean pushed, int upstreams) {
        return pushed ? pushed(settings.rules().drainGraceMicros(), upstreams) : POLLED;
    }

    private static DiscoveryTimings pushed(long drainGraceMicros, int upstreams) {
        // In whole milliseconds, as a watch states its wait in them.
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

    /** The silence that is allowed after another answer that did not come. */
    long nextSilenceMicros(long currentMicros) {
        return Math.min(maxSilenceMicros, (long) ((double) currentMicros * SILENCE_GROWTH));
    }
}
