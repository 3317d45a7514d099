package sedgeyoke.proxy.cordon;

import java.util.Collections;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * An immutable set of cordoned upstreams, with operations to change and combine such sets. The policy only reads the
 * result, through its own interface {@code LoadBalancingPolicy.Cordons}, as it must not depend on this package.
 *
 * @param sinceMicrosById the time since when each upstream is cordoned, by the upstream's id in natural order:
 *     microseconds of the policy's clock
 */
public record CordonSet(SortedMap<String, Long> sinceMicrosById) {
    /** The empty set. */
    public static final CordonSet EMPTY = new CordonSet(Collections.emptySortedMap());

    /** Copies the map. */
    public CordonSet {
        sinceMicrosById = Collections.unmodifiableSortedMap(new TreeMap<>(sinceMicrosById));
    }

    /** Whether the upstream is cordoned. */
    public boolean contains(String id) {
        return sinceMicrosById.containsKey(id);
    }

    /** The ids of the cordoned upstreams, in natural order. */
    public Set<String> ids() {
        return sinceMicrosById.keySet();
    }

    int size() {
        return sinceMicrosById.size();
    }

    public boolean isEmpty() {
        return sinceMicrosById.isEmpty();
    }

    /** Returns this set with one more cordon. */
    public CordonSet with(String id, long sinceMicros) {
        SortedMap<String, Long> changed = new TreeMap<>(sinceMicrosById);
        changed.put(id, sinceMicros);
        return new CordonSet(changed);
    }

    /** Returns this set without the cordon of an upstream. */
    CordonSet without(String id) {
        SortedMap<String, Long> changed = new TreeMap<>(sinceMicrosById);
        changed.remove(id);
        return new CordonSet(changed);
    }

    /**
     * Returns a set of exactly these upstreams: those already in this set keep their time, the others are cordoned from
     * now on.
     */
    public CordonSet changedTo(Set<String> ids, long nowMicros) {
        SortedMap<String, Long> changed = new TreeMap<>();
        ids.forEach(id -> changed.put(id, sinceMicrosById.getOrDefault(id, nowMicros)));
        return new CordonSet(changed);
    }

    /** Returns all cordons of both sets; if an upstream is in both, the time of this set counts. */
    public CordonSet union(CordonSet other) {
        SortedMap<String, Long> all = new TreeMap<>(other.sinceMicrosById);
        all.putAll(sinceMicrosById);
        return new CordonSet(all);
    }
}
