package sedgeyoke.policy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sedgeyoke.policy.LoadBalancingPolicy.Upstream;

/**
 * Determines when the slow start of an upstream began by this balancer's clock. Launch timestamps come from the wall
 * clocks of other machines, and ours may have been wrong before our start: with ours an hour ahead, an upstream would
 * have no slow start; with ours an hour behind, its slow start would last an hour longer. So a timestamp counts only if
 * it is plausible: no launch lies in the future, and a launch that is first listed while we watch the list is at most a
 * short listing delay old. Any other launch counts as happening now.
 */
final class LaunchTimes {
    private static final long MAX_LISTING_DELAY_MICROS = 2_000_000;
    /** Bounds the memory: the oldest records are forgotten first. */
    private static final int MAX_REMEMBERED = 8_192;

    /**
     * By upstream id. Upstreams that leave the list are kept: one that is back in a later list with the same timestamp
     * was not launched again.
     */
    private final Map<String, Launch> launchesById = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Launch> eldest) {
            return size() > MAX_REMEMBERED;
        }
    };
    /** Lower bound on how far the clock of the timestamps is ahead of ours. */
    private long clockOffsetMicros;

    private boolean watching;

    private record Launch(long timestampMicros, long beganAtMicros) {}

    /** Reads the timestamps of a list before its entries are looked up: none can lie in the future. */
    void observeTimestamps(List<Upstream> entries, long nowMicros) {
        for (Upstream entry : entries) {
            clockOffsetMicros = Math.max(clockOffsetMicros, entry.launchedAtMicros() - nowMicros);
        }
    }

    /** From now on launches are seen as they are listed; before, a list may contain launches of any age. */
    void startWatching() {
        watching = true;
    }

    /** When the slow start of the process with that timestamp began; 0 for long ago. */
    long beganAtMicros(String id, long timestampMicros, long nowMicros) {
        if (timestampMicros <= 0) {
            return 0;
        }
        Launch known = launchesById.get(id);
        if (known != null && known.timestampMicros == timestampMicros) {
            return known.beganAtMicros;
        }
        long beganAtMicros = estimate(timestampMicros, nowMicros);
        launchesById.remove(id); // so that it becomes the newest entry
        launchesById.put(id, new Launch(timestampMicros, beganAtMicros));
        return beganAtMicros;
    }

    private long estimate(long timestampMicros, long nowMicros) {
        long launchedAtMicros = timestampMicros - clockOffsetMicros;
        boolean plausible = !watching || launchedAtMicros >= nowMicros - MAX_LISTING_DELAY_MICROS;
        return plausible ? Math.min(launchedAtMicros, nowMicros) : nowMicros;
    }
}
