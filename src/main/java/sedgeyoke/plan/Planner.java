package sedgeyoke.plan;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sedgeyoke.lease.LeaseClock;

/**
 * Receives the load reports of forwarders and answers each with a plan. A planner owns no slow-start quota; it only
 * grants quota that forwarders have delegated to this very process. Planners therefore need no consensus, and one that
 * was restarted or cut off cannot grant quota that another process still uses.
 */
public class Planner {
    /** A forwarder whose last report is older is removed and gets no plan. */
    static final long FORWARDER_TIMEOUT_MICROS = 2_000_000;
    /**
     * Maximum number of upstreams in one plan, which bounds its size; if there are more, plans cover them in rotation.
     */
    static final int MAX_VIEWS = 250;

    private final Settings settings;
    private final LeaseClock leaseClock;
    private final Map<String, ReportingForwarder> forwarders = new TreeMap<>();
    private final UpstreamAggregate upstreams;
    private final SlowStartQuotaPool quotaPool;
    private final RotatingBatch viewBatch = new RotatingBatch();
    private long sequence;

    /**
     * A planner's identity and limits.
     *
     * @param name unique among the planners
     * @param incarnation identifies this process; no other process has the same
     * @param maxForwarders reports of further forwarders are ignored
     * @param maxUpstreams loads of further upstreams are ignored
     */
    public record Settings(String name, long incarnation, int maxForwarders, int maxUpstreams) {}

    /**
     * A plan and its recipient.
     *
     * @param forwarder the recipient's name
     * @param message the plan
     */
    public record AddressedPlan(String forwarder, PlanMessage message) {}

    /** Creates a planner that has received no report yet. */
    public Planner(Settings settings, LeaseClock leaseClock) {
        this(settings, leaseClock, new SlowStartQuotaPool(leaseClock));
    }

    /** Creates a planner with the given quota pool; tests pass pools with deliberate faults. */
    Planner(Settings settings, LeaseClock leaseClock, SlowStartQuotaPool quotaPool) {
        this.settings = settings;
        this.leaseClock = leaseClock;
        this.upstreams = new UpstreamAggregate(settings.maxUpstreams());
        this.quotaPool = quotaPool;
    }

    /** Handles a report; returns false if it is no newer than the last one, or if there are too many forwarders. */
    public boolean handleReport(long nowMicros, ForwarderReport report) {
        ReportingForwarder forwarder = forwarders.get(report.forwarder());
        if (forwarder == null) {
            if (forwarders.size() >= settings.maxForwarders()) {
                return false;
            }
            forwarder = new ReportingForwarder();
            forwarders.put(report.forwarder(), forwarder);
        } else if (!forwarder.isNewer(report)) {
            return false;
        } else if (forwarder.lastReport().incarnation() != report.incarnation()) {
            upstreams.removeForwarder(report.forwarder());
        }
        forwarder.receive(nowMicros, report);
        upstreams.addReport(nowMicros, report);
        quotaPool.replaceDeposits(
                report.forwarder(),
                isDelegatedToThisProcess(report) ? report.deposits() : List.of(),
                leaseClock.depositCountsUntilMicros(report.echo().atMicros(), nowMicros, report.leaseMicros()));
        return true;
    }

    /**
     * Whether a report's deposits are delegated to this process. Those delegated to an earlier incarnation do not
     * count, because it may have granted them already.
     */
    boolean isDelegatedToThisProcess(ForwarderReport report) {
        return report.echo().incarnation() == settings.incarnation();
    }

    /** Creates a plan for each forwarder that has reported since its last plan. */
    public List<AddressedPlan> createPlans(long nowMicros) {
        removeTimedOutForwarders(nowMicros);
        upstreams.updateCapacities(nowMicros);
        Collection<ReportingForwarder> present = forwarders.values();
        ZoneSpillover spillover = ZoneSpillover.of(upstreams, present);
        List<PlanMessage.View> views = nextViews();
        Map<String, List<PlanMessage.Grant>> grants =
                quotaPool.allocateGrants(nowMicros, present, upstreams, spillover);
        List<AddressedPlan> plans = new ArrayList<>(present.size());
        for (ReportingForwarder forwarder : present) {
            if (!forwarder.answered()) { // the report's time sets the expiry of its grants, so it is answered once
                forwarder.markAnswered();
                List<PlanMessage.Grant> own = grants.getOrDefault(forwarder.name(), List.of());
                plans.add(new AddressedPlan(forwarder.name(), createPlan(nowMicros, forwarder, views, spillover, own)));
            }
        }
        return plans;
    }

    private PlanMessage createPlan(
            long nowMicros,
            ReportingForwarder forwarder,
            List<PlanMessage.View> views,
            ZoneSpillover spillover,
            List<PlanMessage.Grant> grants) {
        ForwarderReport report = forwarder.lastReport();
        return new PlanMessage(
                settings.name(),
                settings.incarnation(),
                ++sequence,
                nowMicros,
                new ForwarderReport.Stamp(report.incarnation(), report.sentAtMicros()),
                forwarders.size(),
                views,
                spillover.sharesFrom(report.zone()),
                spillover.limitShares(report.zone(), forwarder.demand()),
                leaseClock.grantDurationMicros(report.leaseMicros()),
                grants);
    }

    private void removeTimedOutForwarders(long nowMicros) {
        forwarders.values().removeIf(forwarder -> {
            boolean timedOut = nowMicros - forwarder.receivedAtMicros() > FORWARDER_TIMEOUT_MICROS;
            if (timedOut) {
                upstreams.removeForwarder(forwarder.name());
                quotaPool.removeForwarder(forwarder.name());
            }
            return timedOut;
        });
    }

    private List<PlanMessage.View> nextViews() {
        List<PlanMessage.View> views = new ArrayList<>();
        for (AggregatedUpstream upstream : viewBatch.next(upstreams.upstreams(), MAX_VIEWS)) {
            views.add(upstream.view());
        }
        return views;
    }
}
