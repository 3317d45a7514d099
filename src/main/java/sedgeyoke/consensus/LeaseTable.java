package sedgeyoke.consensus;

import java.util.HashMap;
import java.util.Map;

/**
 * The leases that a leader has granted. The table is not replicated: a new leader assumes that any balancer may hold a
 * lease on any version until all leases of earlier leaders have expired.
 */
final class LeaseTable {
    /** Balancers beyond this number receive the config but no lease. */
    static final int MAX_HOLDERS = 4_096;

    private final SafetyRules rules;
    private final Map<Holder, Lease> leases = new HashMap<>();
    private final long earlierLeasesEndAtMicros;

    /** The holder of a lease: one process of a balancer. */
    private record Holder(String balancer, long incarnation) {}

    private record Lease(long heldVersion, long untilMicros, int schemaVersion) {
        boolean isExpired(long nowMicros) {
            return untilMicros <= nowMicros;
        }

        /** Keeps the larger values of this lease and the holder's earlier one, as requests may be reordered. */
        Lease mergedWith(Lease earlier) {
            return new Lease(
                    Math.max(heldVersion, earlier.heldVersion),
                    Math.max(untilMicros, earlier.untilMicros),
                    schemaVersion);
        }
    }

    /** Creates the table of a leader that was elected at {@code nowMicros}. */
    LeaseTable(SafetyRules rules, long nowMicros) {
        this.rules = rules;
        this.earlierLeasesEndAtMicros = rules.earlierLeasesEndMicros(nowMicros);
    }

    /**
     * Grants a lease if the balancer has the newest version and the table is not full. This replica must have been
     * confirmed as the leader after the request arrived. The balancer counts the lease from when it sent the request,
     * which is earlier.
     *
     * @param requestedAtMicros when the request arrived
     */
    LeaseResponse grant(LeaseRequest request, long requestedAtMicros, ConfigVersion active, ConfigVersion pending) {
        long pendingVersion = pending == null ? 0 : pending.number();
        Holder holder = new Holder(request.balancer(), request.incarnation());
        if (leases.size() >= MAX_HOLDERS) {
            removeExpired(requestedAtMicros);
        }
        boolean granted = rules.mayHoldLease(request.heldVersion(), Math.max(pendingVersion, active.number()))
                && (leases.size() < MAX_HOLDERS || leases.containsKey(holder));
        if (granted) {
            Lease lease = new Lease(
                    request.heldVersion(), rules.leaseHeldUntilMicros(requestedAtMicros), request.schemaVersion());
            leases.merge(holder, lease, (earlier, later) -> later.mergedWith(earlier));
        }
        return new LeaseResponse(
                request.balancer(),
                request.incarnation(),
                request.sentAtMicros(),
                active.number(),
                pendingVersion,
                granted);
    }

    private void removeExpired(long nowMicros) {
        leases.values().removeIf(lease -> lease.isExpired(nowMicros));
    }

    /** Whether every balancer that may hold a lease has this version. */
    boolean allHoldersHaveVersion(long version, long nowMicros) {
        removeExpired(nowMicros);
        return nowMicros >= earlierLeasesEndAtMicros
                && leases.values().stream().allMatch(lease -> rules.mayHoldLease(lease.heldVersion(), version));
    }

    /** The oldest schema version that a lease holder supports. */
    int oldestSchemaVersion(long nowMicros) {
        return leases.values().stream()
                .filter(lease -> !lease.isExpired(nowMicros))
                .mapToInt(Lease::schemaVersion)
                .min()
                .orElse(ConfigSchema.VERSION);
    }

    /** How many balancers hold a lease. */
    int holderCount(long nowMicros) {
        return (int) leases.values().stream()
                .filter(lease -> !lease.isExpired(nowMicros))
                .count();
    }
}
