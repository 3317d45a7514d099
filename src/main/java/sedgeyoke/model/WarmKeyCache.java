package sedgeyoke.model;

import java.util.LinkedHashMap;
import java.util.Map;

/** The affinity keys recently used at a node; a request with a cached (warm) key needs less work. */
final class WarmKeyCache {
    private static final long TTL_MICROS = 8_000_000;
    private static final int MAX_KEYS = 200;

    /** When each key was last used, least recently used first. */
    private final Map<String, Long> seenMicros = new LinkedHashMap<>(16, 0.75f, true);

    /** Records the use of a key and returns whether it was warm; null and empty keys are never warm. */
    boolean touch(String key, long nowMicros) {
        if (key == null || key.isEmpty()) {
            return false;
        }
        Long lastSeen = seenMicros.put(key, nowMicros);
        if (seenMicros.size() > MAX_KEYS) {
            seenMicros.remove(seenMicros.keySet().iterator().next());
        }
        return lastSeen != null && nowMicros - lastSeen < TTL_MICROS;
    }

    void clear() {
        seenMicros.clear();
    }
}
