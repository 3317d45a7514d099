package sedgeyoke.policy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sedgeyoke.policy.LoadBalancingPolicy.Upstream;

/**
 * Tells when the slow start of an upstream began by this balancer's clock. Launch stamps come from the wall
 * clocks of other machines, and ours may have been stepped before our start: an hour ahead, it would skip
 * slow start; an hour behind, it would hold it for an hour. So a stamp only counts where it can be true: no
 * launch lies in the future, and one that we saw listed while we watched lies at most a short listing delay
 * back. Any other launch counts from now.
 */
final class LaunchTimes {
    private static final long MAX_LISTING_DELAY_MICROS = 2_000_000;
    /** More than any fleet has: an upstream that is missing in some list is no new one when it is back. */
    private static final int MAX_REMEMBERED = 8_192;

    private final Map<String, Launch> launches = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Launch> eldest) {
            return size() > MAX_REMEMBERED;
        }
    };
    /** By how much the clock of the stamps is ahead of ours, at least. */
    private long clockOffset;

    private boolean watching;

    private record Launch(long stamp, long began) {}

    /** Takes in the stamps of a list before its entries are looked up: none can lie in the future. */
    void observe(List<Upstream> entries, long now) {
        entries.forEach(entry -> clockOffset = Math.max(clockOffset, entry.launchedAtMicros() - now));
    }

    /** From now on launches are seen as they are listed; before, a list may name launches of any age. */
    void watched() {
        watching = true;
    }

    /** When the slow start of the process with that stamp began; 0 for long ago. */
    long slowStartBegan(String id, long stamp, long now) {
        if (stamp <= 0) {
            return 0;
        }
        Launch known = launches.get(id);
        if (known != null && known.stamp == stamp) {
            return known.began;
        }
        long launched = stamp - clockOffset;
        boolean possible = !watching || launched >= now - MAX_LISTING_DELAY_MICROS;
        long began = possible ? Math.min(launched, now) : now;
        launches.remove(id); // the latest ones are kept longest
        launches.put(id, new Launch(stamp, began));
        return began;
    }
}
