package sedgeyoke.model;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Idempotency keys recently executed in one zone; a repeat at one of its nodes takes no effect. */
public final class IdempotencyKeyCache {
    private static final long TTL_MICROS = 2_500_000;

    /** When each key was added, oldest first. */
    private final Map<String, Long> addedMicros = new LinkedHashMap<>();

    /** Adds a key unless it is cached and has not expired; returns whether it was added. */
    boolean add(String key, long nowMicros) {
        Iterator<Long> oldestFirst = addedMicros.values().iterator();
        while (oldestFirst.hasNext() && nowMicros - oldestFirst.next() >= TTL_MICROS) {
            oldestFirst.remove();
        }
        return addedMicros.putIfAbsent(key, nowMicros) == null;
    }
}
