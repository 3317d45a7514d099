package sedgeyoke.plan;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sedgeyoke.lease.LeaseClock;

/**
 * Holds the slow-start quota that forwarders have delegated to this planner, and grants it to forwarders. Invariant: at
 * every moment, the grants that may still be used are covered by deposits that last at least as long. A grant that was
 * sent may be used until it expires, even if a newer one was sent, because messages may be late or lost.
 */
class SlowStartQuotaPool {
    /** Added to demand, so that weights are positive. */
    private static final double MIN_DEMAND = 1e-9;

    private final LeaseClock leaseClock;
    private final Map<String, UpstreamQuota> upstreams = new TreeMap<>();
    /** Ids of the upstreams in each forwarder's current deposits, so that an update need not search all upstreams. */
    private final Map<String, List<String>> depositsByForwarder = new HashMap<>();

    SlowStartQuotaPool(LeaseClock leaseClock) {
        this.leaseClock = leaseClock;
    }

    /**
     * Replaces a forwarder's deposits. Grants from the earlier ones remain safe, because the forwarder leaves that
     * quota unused until its lease expires.
     */
    void replaceDeposits(String forwarder, List<ForwarderReport.Deposit> deposits, long expiresAtMicros) {
        for (String id : depositsByForwarder.getOrDefault(forwarder, List.of())) {
            UpstreamQuota quota = upstreams.get(id);
            if (quota != null) {
                quota.withdraw(forwarder);
            }
        }
        List<String> ids = new ArrayList<>(deposits.size());
        for (ForwarderReport.Deposit deposit : deposits) {
            ids.add(deposit.upstream());
            upstreams
                    .computeIfAbsent(deposit.upstream(), id -> new UpstreamQuota())
                    .deposit(
                            forwarder,
                            new UpstreamQuota.DelegatedQuota(
                                    deposit.rate(), deposit.launchedAtMicros(), expiresAtMicros));
        }
        depositsByForwarder.put(forwarder, ids);
    }

    /** Removes a forwarder that has stopped reporting; its deposits count until they expire. */
    void removeForwarder(String forwarder) {
        depositsByForwarder.remove(forwarder);
    }

    /**
     * Allocates grants to forwarders and returns them by forwarder name. They replace the earlier grants of each
     * forwarder.
     */
    Map<String, List<PlanMessage.Grant>> allocateGrants(
            long nowMicros,
            Collection<ReportingForwarder> forwarders,
            UpstreamAggregate aggregate,
            ZoneSpillover spillover) {
        Map<String, List<PlanMessage.Grant>> grants = new HashMap<>();
        Map<Integer, List<GrantCandidate>> candidatesByZone = new HashMap<>();
        upstreams.forEach((id, quota) -> {
            quota.removeExpired(nowMicros);
            AggregatedUpstream upstream = aggregate.get(id);
            if (upstream != null && !upstream.draining() && quota.hasDeposits()) {
                List<GrantCandidate> candidates = candidatesByZone.computeIfAbsent(
                        upstream.zone(), zone -> candidates(nowMicros, forwarders, spillover, zone));
                allocateGrants(upstream, quota, candidates, grants);
            }
        });
        upstreams.values().removeIf(UpstreamQuota::isEmpty);
        return grants;
    }

    private void allocateGrants(
            AggregatedUpstream upstream,
            UpstreamQuota quota,
            List<GrantCandidate> candidates,
            Map<String, List<PlanMessage.Grant>> grants) {
        for (GrantAllocator.Allocation allocation :
                GrantAllocator.allocate(quota, upstream.launchedAtMicros(), candidates)) {
            GrantCandidate candidate = allocation.candidate();
            recordGrant(
                    quota.grantsOf(candidate.forwarder()),
                    new UpstreamQuota.OutstandingGrant(allocation.rate(), candidate.expiresAtMicros()));
            grants.computeIfAbsent(candidate.forwarder(), forwarder -> new ArrayList<>())
                    .add(new PlanMessage.Grant(upstream.id(), upstream.launchedAtMicros(), allocation.rate()));
        }
    }

    /** Records a new grant; earlier ones stay outstanding until they expire. */
    void recordGrant(List<UpstreamQuota.OutstandingGrant> outstanding, UpstreamQuota.OutstandingGrant grant) {
        outstanding.add(grant);
    }

    /** Returns the forwarders with a recent, unanswered report, in descending order of their weight for a zone. */
    private List<GrantCandidate> candidates(
            long nowMicros, Collection<ReportingForwarder> forwarders, ZoneSpillover spillover, int zone) {
        List<GrantCandidate> candidates = new ArrayList<>();
        for (ReportingForwarder forwarder : forwarders) {
            ForwarderReport report = forwarder.lastReport();
            long durationMicros = leaseClock.grantDurationMicros(report.leaseMicros());
            boolean recent = nowMicros - forwarder.receivedAtMicros() <= durationMicros / 2;
            if (!forwarder.answered() && recent) {
                candidates.add(new GrantCandidate(
                        forwarder.name(),
                        report.minGrantRate(),
                        (forwarder.demand() + MIN_DEMAND) * spillover.affinity(forwarder.zone(), zone),
                        leaseClock.grantOutstandingUntilMicros(forwarder.receivedAtMicros(), durationMicros)));
            }
        }
        candidates.sort(Comparator.comparingDouble((GrantCandidate candidate) -> -candidate.weight())
                .thenComparing(GrantCandidate::forwarder));
        return candidates;
    }
}
