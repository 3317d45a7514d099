package sedgeyoke.consensus;

import java.util.HashMap;
import java.util.Map;

/**
 * What a leader knows of the leases that it has granted. It is not replicated: a new leader takes it that every
 * balancer holds one until those of its predecessors have run out.
 */
final class LeaseTable {
    /** More holders are told of news and granted nothing. */
    static final int MOST = 4_096;

    private final SafetyRules rules;
    private final Map<Holder, Held> held = new HashMap<>();
    private final long quietUntil;

    /** One process of a balancer. */
    private record Holder(String balancer, long run) {}

    private record Held(long holds, long until, int schema) {}

    /** A leader begins. */
    LeaseTable(SafetyRules rules, long now) {
        this.rules = rules;
        this.quietUntil = rules.predecessorsLeasesEnd(now);
    }

    /**
     * The answer to an ask that came at {@code askedAt}, given that this keeper still led after that. The lease counts
     * at the balancer from when it sent the ask, which is earlier.
     */
    LeaseResponse grant(LeaseRequest ask, long askedAt, ConfigVersion active, ConfigVersion pending) {
        long next = pending == null ? 0 : pending.number();
        Holder holder = new Holder(ask.balancer(), ask.run());
        if (held.size() >= MOST) { // processes that are over are no reason to refuse others
            held.values().removeIf(h -> h.until() <= askedAt);
        }
        boolean leased = rules.holdsEnough(ask.holds(), Math.max(next, active.number()))
                && (held.size() < MOST || held.containsKey(holder));
        if (leased) {
            Held before = held.get(holder);
            long until = rules.heldUntil(askedAt);
            // an ask that comes late must not shorten what a later one was granted
            held.put(
                    holder,
                    new Held(
                            before == null ? ask.holds() : Math.max(before.holds(), ask.holds()),
                            before == null ? until : Math.max(until, before.until()),
                            ask.schema()));
        }
        return new LeaseResponse(ask.balancer(), ask.run(), ask.stamp(), active.number(), next, leased);
    }

    /** Whether nobody acts on a version before this one without knowing it. */
    boolean allHold(long version, long now) {
        held.values().removeIf(h -> h.until() <= now);
        return now >= quietUntil && held.values().stream().allMatch(h -> rules.holdsEnough(h.holds(), version));
    }

    /** The oldest schema that a holder knows. */
    int oldestSchema(long now) {
        return held.values().stream()
                .filter(h -> h.until() > now)
                .mapToInt(Held::schema)
                .min()
                .orElse(ConfigSchema.VERSION);
    }

    /** How many hold a lease. */
    int size(long now) {
        return (int) held.values().stream().filter(h -> h.until() > now).count();
    }
}
