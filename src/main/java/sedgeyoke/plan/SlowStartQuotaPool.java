package sedgeyoke.plan;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sedgeyoke.lease.LeaseClock;

/**
 * Rights on cold upstreams that forwarders have lent to this planner, and what it has passed on of them. It keeps one
 * invariant: at every moment the grants that may still be used are covered by deposits that last as long as they do.
 * A grant that was sent may be used until it has run out, whether or not a newer one was sent since: messages may be
 * late or lost, so both count and the larger one is held against the deposits.
 */
class SlowStartQuotaPool {
    /** Part of the deposits that is granted: they change a little with each report, and must still cover all. */
    private static final double USED = 0.8;
    /** Room in a grant over the least one of use. */
    private static final double GRANT_ROOM = 1.5;

    private final LeaseClock terms;
    private final Map<String, Upstream> upstreams = new TreeMap<>();
    /** Upstreams that a forwarder's last report lent rights on: few, where all upstreams may be many. */
    private final Map<String, List<String>> lentBy = new HashMap<>();

    /** Deposits and grants on one upstream. */
    private static final class Upstream {
        final Map<String, Lent> lent = new TreeMap<>();
        final Map<String, List<Held>> held = new TreeMap<>();
    }

    private record Lent(double rate, long launchedAt, long until) {}

    record Held(double rate, long until) {}

    /** A forwarder that may get a grant, how much it wants one, and until when a grant to it would be out. */
    private record Candidate(Planner.Member member, double weight, long until) {}

    SlowStartQuotaPool(LeaseClock terms) {
        this.terms = terms;
    }

    /** A forwarder's report: its deposits replace those before, as the lender keeps off all of them anyway. */
    void deposited(String forwarder, List<ForwarderReport.Deposit> deposits, long until) {
        for (String id : lentBy.getOrDefault(forwarder, List.of())) {
            Upstream u = upstreams.get(id);
            if (u != null) {
                u.lent.remove(forwarder);
            }
        }
        lentBy.put(
                forwarder,
                deposits.stream().map(ForwarderReport.Deposit::upstream).toList());
        for (ForwarderReport.Deposit d : deposits) {
            upstreams
                    .computeIfAbsent(d.upstream(), id -> new Upstream())
                    .lent
                    .put(forwarder, new Lent(d.rate(), d.launchedAt(), until));
        }
    }

    /** A forwarder is gone; what it lent lasts as long as it said. */
    void left(String forwarder) {
        lentBy.remove(forwarder);
    }

    /** Grants for all that are present, which replace those before. */
    Map<String, List<PlanMessage.Grant>> grant(
            long now, Collection<Planner.Member> members, UpstreamAggregate fleet, ZoneSpillover spill) {
        Map<String, List<PlanMessage.Grant>> grants = new HashMap<>();
        Map<Integer, List<Candidate>> byZone = new HashMap<>();
        for (Map.Entry<String, Upstream> e : upstreams.entrySet()) {
            Upstream u = e.getValue();
            prune(u, now);
            UpstreamAggregate.Upstream seen = fleet.get(e.getKey());
            if (seen != null && !seen.draining() && !u.lent.isEmpty()) {
                List<Candidate> fit = byZone.computeIfAbsent(seen.zone, z -> candidates(now, members, spill, z));
                share(u, seen.launchedAt, fit)
                        .forEach((forwarder, rate) -> grants.computeIfAbsent(forwarder, f -> new ArrayList<>())
                                .add(new PlanMessage.Grant(e.getKey(), seen.launchedAt, rate)));
            }
        }
        upstreams.values().removeIf(u -> u.lent.isEmpty() && u.held.isEmpty());
        return grants;
    }

    private static void prune(Upstream u, long now) {
        u.lent.values().removeIf(l -> l.until() <= now);
        u.held.values().forEach(list -> list.removeIf(h -> h.until() <= now));
        u.held.values().removeIf(List::isEmpty);
    }

    /** Forwarders whose traffic fits a zone best come first; a grant answers a report, which must be fresh. */
    private List<Candidate> candidates(long now, Collection<Planner.Member> members, ZoneSpillover spill, int zone) {
        List<Candidate> candidates = new ArrayList<>();
        for (Planner.Member m : members) {
            if (!m.answered && now - m.heardAt <= terms.grantDuration(m.last.lease()) / 2) {
                candidates.add(new Candidate(
                        m,
                        (m.demand() + 1e-9) * spill.affinity(m.last.zone(), zone),
                        terms.grantOutstandingUntil(m.heardAt, terms.grantDuration(m.last.lease()))));
            }
        }
        candidates.sort(Comparator.comparingDouble((Candidate c) -> -c.weight())
                .thenComparing(c -> c.member().last.forwarder()));
        return candidates;
    }

    /** Who holds a grant keeps it before others: what moves is lost for a while. */
    private static List<Candidate> holdersFirst(Upstream u, List<Candidate> candidates, int most) {
        List<Candidate> chosen = new ArrayList<>();
        for (int i = 0; i < candidates.size() && !u.held.isEmpty() && chosen.size() < most; i++) {
            if (u.held.containsKey(candidates.get(i).member().last.forwarder())) {
                chosen.add(candidates.get(i));
            }
        }
        for (int i = 0; i < candidates.size() && chosen.size() < most; i++) {
            if (!u.held.containsKey(candidates.get(i).member().last.forwarder())) {
                chosen.add(candidates.get(i));
            }
        }
        chosen.sort(Comparator.comparingDouble(c -> -c.weight()));
        return chosen;
    }

    /** Divides what is lent among few enough that each can use its part. */
    private Map<String, Double> share(Upstream u, long launchedAt, List<Candidate> candidates) {
        if (candidates.isEmpty()) {
            return Map.of();
        }
        double available = available(u, launchedAt, latestEnd(u, candidates));
        double least = GRANT_ROOM * candidates.get(0).member().last.leastGrant();
        int fits = least > 0 ? (int) (USED * available / least) : candidates.size();
        List<Candidate> chosen = holdersFirst(u, candidates, Math.max(fits, 1));
        double weights = chosen.stream().mapToDouble(Candidate::weight).sum();
        while (chosen.size() > 1
                && USED * available * chosen.get(chosen.size() - 1).weight() / weights < least) {
            weights -= chosen.get(chosen.size() - 1).weight(); // its part would be too small to be of use
            chosen = chosen.subList(0, chosen.size() - 1);
        }
        double free = available - outstanding(u);
        Map<String, Double> rates = new LinkedHashMap<>();
        if (free < 0) {
            return rates; // a deposit has lapsed: nothing new until what it covered has run out
        }
        for (Candidate c : chosen) {
            String name = c.member().last.forwarder();
            double holds = holds(u, name);
            double wanted = USED * available * c.weight() / weights;
            double rate = Math.min(wanted, holds + free);
            if (rate > 0) {
                free -= Math.max(0, rate - holds);
                rates.put(name, rate);
                note(u.held.computeIfAbsent(name, f -> new ArrayList<>()), new Held(rate, c.until()));
            }
        }
        return rates;
    }

    /** Notes what is granted; what was granted before goes on counting until it has run out. */
    void note(List<Held> held, Held grant) {
        held.add(grant);
    }

    /** When the last of what is out, or goes out now, has run out. */
    private static long latestEnd(Upstream u, List<Candidate> candidates) {
        long latest = Long.MIN_VALUE;
        for (Candidate c : candidates) {
            latest = Math.max(latest, c.until());
        }
        for (List<Held> held : u.held.values()) {
            for (Held h : held) {
                latest = Math.max(latest, h.until());
            }
        }
        return latest;
    }

    /** What is lent for at least as long, of the process that runs there now. */
    private static double available(Upstream u, long launchedAt, long end) {
        return u.lent.values().stream()
                .filter(l -> l.until() >= end && l.launchedAt() == launchedAt)
                .mapToDouble(Lent::rate)
                .sum();
    }

    private static double holds(Upstream u, String forwarder) {
        return u.held.getOrDefault(forwarder, List.of()).stream()
                .mapToDouble(Held::rate)
                .max()
                .orElse(0);
    }

    private static double outstanding(Upstream u) {
        return u.held.keySet().stream().mapToDouble(f -> holds(u, f)).sum();
    }
}
