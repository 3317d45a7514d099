package sedgeyoke.policy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sedgeyoke.policy.LoadBalancingPolicy.Upstream;

/**
 * Tells when the slow start of an upstream began by this balancer's clock. Launch stamps come from the wall
 * clocks of other machines, and ours may have been stepped before our start: an hour ahead, it would skip
 * slow start; an hour behind, it would hold it for an hour. So a stamp only counts where it can be true: no
 * launch lies in the future, and one that was listed while we watched lies at most a short listing delay
 * back. Any other launch counts from now.
 */
final class LaunchTimes {
    private static final long MAX_LISTING_DELAY_MICROS = 2_000_000;
    /** Bounds the memory: the launches that were recorded longest ago are forgotten first. */
    private static final int MAX_REMEMBERED = 8_192;

    /** An upstream that is missing in one list and back in the next is no new one. */
    private final Map<String, Launch> launchesById = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Launch> eldest) {
            return size() > MAX_REMEMBERED;
        }
    };
    /** By how much the clock of the stamps is ahead of ours, at least. */
    private long clockOffsetMicros;

    private boolean watching;

    private record Launch(long stampMicros, long beganAtMicros) {}

    /** Takes in the stamps of a list before its entries are looked up: none can lie in the future. */
    void observeStamps(List<Upstream> entries, long nowMicros) {
        for (Upstream entry : entries) {
            clockOffsetMicros = Math.max(clockOffsetMicros, entry.launchedAtMicros() - nowMicros);
        }
    }

    /** From now on launches are seen as they are listed; before, a list may name launches of any age. */
    void startWatching() {
        watching = true;
    }

    /** When the slow start of the process with that stamp began; 0 for long ago. */
    long beganAtMicros(String id, long stampMicros, long nowMicros) {
        if (stampMicros <= 0) {
            return 0;
        }
        Launch known = launchesById.get(id);
        if (known != null && known.stampMicros == stampMicros) {
            return known.beganAtMicros;
        }
        long beganAtMicros = estimate(stampMicros, nowMicros);
        launchesById.remove(id); // so that it becomes the youngest entry
        launchesById.put(id, new Launch(stampMicros, beganAtMicros));
        return beganAtMicros;
    }

    private long estimate(long stampMicros, long nowMicros) {
        long launchedAtMicros = stampMicros - clockOffsetMicros;
        boolean possible = !watching || launchedAtMicros >= nowMicros - MAX_LISTING_DELAY_MICROS;
        return possible ? Math.min(launchedAtMicros, nowMicros) : nowMicros;
    }
}
