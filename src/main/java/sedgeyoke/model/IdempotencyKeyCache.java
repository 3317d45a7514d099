package sedgeyoke.model;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The keys of requests that the nodes of one zone have run lately, and whose repeats they drop. Times: microseconds.
 */
public final class IdempotencyKeyCache {
    private static final long KNOWN_FOR = 2_500_000;

    private final Map<String, Long> effects = new LinkedHashMap<>();

    /** Whether a key is known; if not, it is from now on. */
    boolean known(String key, long now) {
        Iterator<Long> oldest = effects.values().iterator();
        while (oldest.hasNext() && now - oldest.next() >= KNOWN_FOR) {
            oldest.remove();
        }
        return effects.putIfAbsent(key, now) != null;
    }
}
