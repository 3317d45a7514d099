package sedgeyoke.proxy.cordon;

import java.util.Collections;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A set of cordoned upstreams, immutable, with what changes and combines such sets. The policy gets the result as its
 * own {@code LoadBalancingPolicy.Cordons}: it must not depend on this package, and only reads it.
 *
 * @param sinceMicrosById for each upstream's id, in natural order, since when it is cordoned: microseconds on the clock
 *     of the policy
 */
public record CordonSet(SortedMap<String, Long> sinceMicrosById) {
    /** No upstream. */
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

    /** This set and one more cordon. */
    public CordonSet with(String id, long sinceMicros) {
        SortedMap<String, Long> changed = new TreeMap<>(sinceMicrosById);
        changed.put(id, sinceMicros);
        return new CordonSet(changed);
    }

    /** This set without the cordon of an upstream. */
    CordonSet without(String id) {
        SortedMap<String, Long> changed = new TreeMap<>(sinceMicrosById);
        changed.remove(id);
        return new CordonSet(changed);
    }

    /** The cordons of exactly these upstreams: those that this set has keep their time, others begin now. */
    public CordonSet changedTo(Set<String> ids, long nowMicros) {
        SortedMap<String, Long> changed = new TreeMap<>();
        ids.forEach(id -> changed.put(id, sinceMicrosById.getOrDefault(id, nowMicros)));
        return new CordonSet(changed);
    }

    /** All cordons of both sets; where both have an upstream, the time of this set counts. */
    public CordonSet union(CordonSet other) {
        SortedMap<String, Long> all = new TreeMap<>(other.sinceMicrosById);
        all.putAll(sinceMicrosById);
        return new CordonSet(all);
    }
}
