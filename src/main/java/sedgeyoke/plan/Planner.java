package sedgeyoke.plan;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sedgeyoke.lease.LeaseClock;

/**
 * One planner. It merges what forwarders report and gives each a plan. It owns no right to any upstream: what it
 * grants to one forwarder, others have lent to it. So planners need not agree, and one that knows nothing, or lives in
 * the past, grants nothing that anyone else uses.
 */
public class Planner {
    /** A forwarder that was not heard for so long has no part in plans. */
    static final long PRESENT_WITHIN = 2_000_000;
    /** Upstreams in one message; more take turns, so that a plan has a bounded size. */
    static final int MOST_VIEWS = 250;

    private final Settings settings;
    private final LeaseClock terms;
    private final Map<String, Member> members = new TreeMap<>();
    private final UpstreamAggregate fleet;
    private final SlowStartQuotaPool pool;
    private long sequence;
    private final RotatingBatch turn = new RotatingBatch();

    /**
     * What a planner is told at its start.
     *
     * @param name unlike that of any other planner
     * @param incarnation no other process has the same
     * @param mostForwarders further ones are not heard
     * @param mostUpstreams what is reported of further ones is left out
     */
    public record Settings(String name, long incarnation, int mostForwarders, int mostUpstreams) {}

    /** A message and whom it is for. */
    public record Out(String forwarder, PlanMessage message) {}

    /** A forwarder that reports. */
    static final class Member {
        ForwarderReport last;
        long heardAt;
        boolean answered;

        double demand() {
            double sum = 0;
            for (double d : last.demand()) {
                sum += d;
            }
            return sum;
        }
    }

    /** Starts with nothing known. */
    public Planner(Settings settings, LeaseClock terms) {
        this(settings, terms, new SlowStartQuotaPool(terms));
    }

    /** For tests, which bring a pool with a fault. */
    Planner(Settings settings, LeaseClock terms, SlowStartQuotaPool pool) {
        this.settings = settings;
        this.terms = terms;
        this.fleet = new UpstreamAggregate(settings.mostUpstreams());
        this.pool = pool;
    }

    /** Takes in a report; false if it is no newer than what is known, or there are too many forwarders already. */
    public boolean report(long now, ForwarderReport report) {
        Member m = members.get(report.forwarder());
        if (m == null && members.size() >= settings.mostForwarders()) {
            return false;
        }
        boolean same = m != null && m.last.incarnation() == report.incarnation();
        if (same && m.last.sequence() >= report.sequence()) {
            return false;
        }
        if (m != null && !same) {
            fleet.left(m.last.forwarder());
        }
        if (m == null) {
            m = new Member();
            members.put(report.forwarder(), m);
        }
        m.last = report;
        m.heardAt = now;
        m.answered = false;
        fleet.reported(now, report);
        pool.deposited(
                report.forwarder(),
                lentToUs(report) ? report.deposits() : List.of(),
                terms.depositCountsUntil(report.echo().at(), now, report.lease()));
        return true;
    }

    /** Whether the deposits of a report were made to this process: one before it may have passed them on. */
    boolean lentToUs(ForwarderReport report) {
        return report.echo().incarnation() == settings.incarnation();
    }

    /** A plan for each forwarder that has reported since the last one. */
    public List<Out> plan(long now) {
        members.values().removeIf(m -> {
            boolean gone = now - m.heardAt > PRESENT_WITHIN;
            if (gone) {
                fleet.left(m.last.forwarder());
                pool.left(m.last.forwarder());
            }
            return gone;
        });
        fleet.measure(now);
        Collection<Member> present = members.values();
        ZoneSpillover spill = ZoneSpillover.of(fleet, present);
        List<PlanMessage.View> views = views();
        Map<String, List<PlanMessage.Grant>> grants = pool.grant(now, present, fleet, spill);
        List<Out> out = new ArrayList<>(members.size());
        for (Member m : present) {
            if (m.answered) {
                continue; // it has an answer to that report, and a grant is an answer to one
            }
            m.answered = true;
            out.add(new Out(
                    m.last.forwarder(),
                    new PlanMessage(
                            settings.name(),
                            settings.incarnation(),
                            ++sequence,
                            now,
                            new ForwarderReport.Stamp(m.last.incarnation(), m.last.sentAt()),
                            members.size(),
                            views,
                            spill.row(m.last.zone()),
                            spill.limitShares(m.last.zone(), m.demand()),
                            terms.grantDuration(m.last.lease()),
                            grants.getOrDefault(m.last.forwarder(), List.of()))));
        }
        return out;
    }

    private List<PlanMessage.View> views() {
        List<PlanMessage.View> views = new ArrayList<>();
        for (UpstreamAggregate.Upstream u : turn.take(fleet.upstreams(), MOST_VIEWS)) {
            views.add(new PlanMessage.View(u.id, u.zone, u.totalLimit, u.launchedAt, u.draining()));
        }
        return views;
    }
}
