package sedgeyoke.proxy.exchange;

import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.UUID;

/**
 * Remembers the ids of requests that an upstream may have executed, for a time after their exchange has ended. Ids are
 * unique, but a client that has lost its connection may send the same request again, which would be executed twice.
 * The number of ids is limited; the oldest are dropped first. Event loop only; times are microseconds of the policy's
 * clock.
 */
final class ForwardedIds {
    private static final long RETENTION_MICROS = 60_000_000;
    /** With the longest ids some 3 MB. */
    private static final int MAX_IDS = 16_384;
    /** Longer ids are replaced by a digest. */
    private static final int MAX_ID_CHARS = 64;

    /** The end of each exchange by the key of its id, oldest first. */
    private final Map<String, Long> endMicrosByKey = new LinkedHashMap<>();

    /** Remembers an id of which the exchange ends now. */
    void add(String id, long nowMicros) {
        removeOld(nowMicros);
        String key = key(id);
        endMicrosByKey.remove(key); // so that it becomes the youngest
        endMicrosByKey.put(key, nowMicros);
    }

    boolean contains(String id, long nowMicros) {
        Long endMicros = endMicrosByKey.get(key(id));
        return endMicros != null && nowMicros - endMicros <= RETENTION_MICROS;
    }

    private void removeOld(long nowMicros) {
        Iterator<Long> oldest = endMicrosByKey.values().iterator();
        while (oldest.hasNext() && (nowMicros - oldest.next() > RETENTION_MICROS || endMicrosByKey.size() >= MAX_IDS)) {
            oldest.remove();
        }
    }

    private static String key(String id) {
        return id.length() <= MAX_ID_CHARS
                ? id
                : UUID.nameUUIDFromBytes(id.getBytes(StandardCharsets.UTF_8)).toString();
    }
}
