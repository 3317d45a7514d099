package sedgeyoke.consensus;

import java.util.HashMap;
import java.util.Map;

/**
 * What a leader knows of the leases that it has granted. It is not replicated: a new leader takes it that every
 * balancer holds one until those of its predecessors have run out.
 */
final class LeaseTable {
    /** More holders are told of news and granted nothing. */
    static final int MAX_HOLDERS = 4_096;

    private final SafetyRules rules;
    private final Map<Holder, Lease> leases = new HashMap<>();
    private final long earlierLeasesEndAt;

    /** One process of a balancer. */
    private record Holder(String balancer, long run) {}

    private record Lease(long heldVersion, long untilMicros, int schemaVersion) {}

    /** A leader begins. */
    LeaseTable(SafetyRules rules, long now) {
        this.rules = rules;
        this.earlierLeasesEndAt = rules.earlierLeasesEnd(now);
    }

    /**
     * The answer to an ask that came at {@code requestedAt}, given that this keeper still led after that. The lease counts
     * at the balancer from when it sent the ask, which is earlier.
     */
    LeaseResponse grant(LeaseRequest request, long requestedAt, ConfigVersion active, ConfigVersion pending) {
        long next = pending == null ? 0 : pending.number();
        Holder holder = new Holder(request.balancer(), request.incarnation());
        if (leases.size() >= MAX_HOLDERS) { // processes that are over are no reason to refuse others
            leases.values().removeIf(h -> h.untilMicros() <= requestedAt);
        }
        boolean leased = rules.coversVersion(request.heldVersion(), Math.max(next, active.number()))
                && (leases.size() < MAX_HOLDERS || leases.containsKey(holder));
        if (leased) {
            Lease before = leases.get(holder);
            long until = rules.leaseHeldUntil(requestedAt);
            // an ask that comes late must not shorten what a later one was granted
            leases.put(
                    holder,
                    new Lease(
                            before == null
                                    ? request.heldVersion()
                                    : Math.max(before.heldVersion(), request.heldVersion()),
                            before == null ? until : Math.max(until, before.untilMicros()),
                            request.schemaVersion()));
        }
        return new LeaseResponse(
                request.balancer(), request.incarnation(), request.sentAtMicros(), active.number(), next, leased);
    }

    /** Whether nobody acts on a version before this one without knowing it. */
    boolean allHoldersCover(long version, long now) {
        leases.values().removeIf(h -> h.untilMicros() <= now);
        return now >= earlierLeasesEndAt
                && leases.values().stream().allMatch(h -> rules.coversVersion(h.heldVersion(), version));
    }

    /** The oldest schema that a holder knows. */
    int oldestSchemaVersion(long now) {
        return leases.values().stream()
                .filter(h -> h.untilMicros() > now)
                .mapToInt(Lease::schemaVersion)
                .min()
                .orElse(ConfigSchema.VERSION);
    }

    /** How many hold a lease. */
    int holderCount(long now) {
        return (int) leases.values().stream().filter(h -> h.untilMicros() > now).count();
    }
}
