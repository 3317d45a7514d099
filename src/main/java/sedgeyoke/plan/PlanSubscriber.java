package sedgeyoke.plan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import sedgeyoke.lease.LeaseClock;
import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.policy.LoadBalancingPolicy.SlowStartGrant;
import sedgeyoke.policy.LoadBalancingPolicy.SlowStartQuota;
import sedgeyoke.policy.LoadBalancingPolicy.State;
import sedgeyoke.policy.LoadBalancingPolicy.UpstreamStatus;

/**
 * The forwarder's side of the planner protocol. It reports to every planner, applies the plans of the selected one,
 * delegates slow-start quota to that one while it responds, and uses the grants of all planners.
 */
public class PlanSubscriber {
    /**
     * Interval of the reports to planners that are not selected; they send plans in response, so that one of them can
     * be selected at once.
     */
    private static final long STANDBY_REPORT_INTERVAL_MICROS = 500_000;
    /** Quota is delegated only to a planner whose last plan is no older than the lease divided by this. */
    private static final int MAX_PLAN_AGE_DIVISOR = 3;

    private final Identity self;
    private final LeaseClock leaseClock;
    private final QuotaDelegation delegation;
    private final PlannerSelection planners = new PlannerSelection();
    private final ViewCache views = new ViewCache();
    private final RotatingBatch loadBatch = new RotatingBatch();
    private final Map<String, Long> nextStandbyReportMicros = new HashMap<>();
    private long fadeTimeMicros;
    private long sequence;

    /**
     * A forwarder's identity and settings.
     *
     * @param name stays the same after a restart
     * @param incarnation identifies this process; no other process has the same
     * @param zone its zone
     * @param leaseMicros for how long each report delegates quota
     * @param fadeTimeMicros how long a plan takes to lose its effect after the last contact with a planner
     * @param minGrantRate minimum rate of a grant that it can use, in mean requests a second
     */
    public record Identity(
            String name, long incarnation, int zone, long leaseMicros, long fadeTimeMicros, double minGrantRate) {}

    /** Creates a subscriber that uses none of its own slow-start quota for one lease from {@code nowMicros} on. */
    public PlanSubscriber(Identity self, LeaseClock leaseClock, long nowMicros) {
        this(self, leaseClock, new QuotaDelegation(leaseClock, self.leaseMicros(), nowMicros));
    }

    /** Creates a subscriber with the given delegation; tests pass delegations with deliberate faults. */
    PlanSubscriber(Identity self, LeaseClock leaseClock, QuotaDelegation delegation) {
        this.self = self;
        this.leaseClock = leaseClock;
        this.delegation = delegation;
        this.fadeTimeMicros = self.fadeTimeMicros();
    }

    /** Sets how long a plan takes to lose its effect after the last contact with a planner. */
    public void setFadeTimeMicros(long fadeTimeMicros) {
        this.fadeTimeMicros = fadeTimeMicros;
    }

    // ---- Reports -------------------------------------------------------------------------------------

    /**
     * Whether to send a planner a report now: always to the selected planner, less often to the others. If this returns
     * true, the caller has to send the report.
     */
    public boolean isReportDue(long nowMicros, String planner) {
        boolean due = planner.equals(planners.selected(nowMicros))
                || nowMicros >= nextStandbyReportMicros.getOrDefault(planner, Long.MIN_VALUE);
        if (due) {
            nextStandbyReportMicros.put(planner, nowMicros + STANDBY_REPORT_INTERVAL_MICROS);
        }
        return due;
    }

    /**
     * Creates the report for one planner. The report to the selected planner delegates slow-start quota: the caller
     * must hand {@link #currentPlan} to the policy before it sends the report.
     */
    public ForwarderReport createReport(long nowMicros, String planner, LoadBalancingPolicy.Summary summary) {
        PlannerSelection.ReceivedPlan lastPlan = planners.lastPlanOf(planner);
        ForwarderReport.Stamp echo = ForwarderReport.Stamp.NONE;
        List<ForwarderReport.Deposit> deposits = List.of();
        if (lastPlan != null) {
            PlanMessage message = lastPlan.message();
            echo = new ForwarderReport.Stamp(message.incarnation(), message.sentAtMicros());
            long ageMicros = nowMicros - lastPlan.receivedAtMicros();
            boolean selected = planner.equals(planners.selected(nowMicros));
            if (selected && ageMicros <= self.leaseMicros() / MAX_PLAN_AGE_DIVISOR) {
                deposits = delegateQuota(nowMicros, message, summary.upstreams());
            }
        }
        return new ForwarderReport(
                self.name(),
                self.incarnation(),
                ++sequence,
                nowMicros,
                echo,
                self.zone(),
                self.leaseMicros(),
                self.minGrantRate(),
                summary.demand(),
                nextLoads(nowMicros, summary.upstreams()),
                deposits);
    }

    private List<ForwarderReport.Deposit> delegateQuota(
            long nowMicros, PlanMessage to, List<UpstreamStatus> upstreams) {
        List<ForwarderReport.Deposit> deposits = new ArrayList<>();
        for (UpstreamStatus upstream : upstreams) {
            boolean cold = upstream.slowStartQuota() > 0 && upstream.state() == State.READY;
            if (cold
                    && deposits.size() < ForwarderReport.MAX_DEPOSITS
                    && delegation.delegate(nowMicros, upstream.id(), to)) {
                deposits.add(new ForwarderReport.Deposit(
                        upstream.id(), upstream.launchedAtMicros(), upstream.slowStartQuota()));
            }
        }
        return deposits;
    }

    private List<ForwarderReport.Load> nextLoads(long nowMicros, List<UpstreamStatus> upstreams) {
        List<ForwarderReport.Load> loads = new ArrayList<>();
        for (UpstreamStatus upstream : loadBatch.next(upstreams, ForwarderReport.MAX_LOADS)) {
            long reportAgeMicros =
                    upstream.reportedAtMicros() > 0 ? Math.max(0, nowMicros - upstream.reportedAtMicros()) : -1;
            loads.add(new ForwarderReport.Load(
                    upstream.id(),
                    upstream.zone(),
                    upstream.state() == State.DRAINING,
                    upstream.launchedAtMicros(),
                    upstream.inFlight(),
                    upstream.sent(),
                    upstream.limit(),
                    upstream.utilisation(),
                    upstream.waiting(),
                    reportAgeMicros,
                    upstream.ejected()));
        }
        return loads;
    }

    // ---- Plans ---------------------------------------------------------------------------------------

    /** Handles a plan; returns false if it is stale or answers a report of another incarnation of this forwarder. */
    public boolean handlePlan(long nowMicros, PlanMessage plan) {
        boolean answersThisProcess = plan.echo().incarnation() == self.incarnation();
        if (!answersThisProcess || plan.echo().atMicros() > nowMicros || !planners.receive(nowMicros, plan)) {
            return false;
        }
        if (plan.planner().equals(planners.selected(nowMicros))) {
            views.add(nowMicros, plan.views());
        }
        return true;
    }

    /**
     * Whether a plan that was handled changes {@link #currentPlan}; most plans of planners that are not selected do
     * not.
     */
    public boolean affectsCurrentPlan(long nowMicros, PlanMessage plan) {
        return plan.planner().equals(planners.selected(nowMicros))
                || !plan.grants().isEmpty();
    }

    /** Returns the name of the planner that is selected, or null if none is active. */
    String selectedPlanner(long nowMicros) {
        return planners.selected(nowMicros);
    }

    /** Returns the number of planners that have sent a plan recently. */
    public int activePlanners(long nowMicros) {
        return planners.activePlanners(nowMicros);
    }

    /** Returns the plan that the policy has to apply now, merged from the last plans of all planners. */
    public LoadBalancingPolicy.Plan currentPlan(long nowMicros) {
        PlannerSelection.ReceivedPlan selected = planners.selectedPlan(nowMicros);
        List<Double> spillover =
                selected == null ? List.of() : selected.message().spillover();
        List<Double> limitShares =
                selected == null ? List.of() : selected.message().limitShares();
        return new LoadBalancingPolicy.Plan(
                planners.lastReceivedAtMicros(),
                fadeTimeMicros,
                views.upstreamViews(limitShares),
                spillover,
                delegation.ownQuotaBlockedUntilMicros(),
                quotaByUpstream(nowMicros));
    }

    /** Returns how long the quota of each upstream is delegated and which grants on it are usable. */
    private Map<String, SlowStartQuota> quotaByUpstream(long nowMicros) {
        delegation.removeExpired(nowMicros);
        Map<String, UsableGrants> grants = usableGrants(nowMicros);
        TreeSet<String> upstreams = new TreeSet<>(delegation.upstreams());
        upstreams.addAll(grants.keySet());
        Map<String, SlowStartQuota> quota = new HashMap<>();
        for (String upstream : upstreams) {
            UsableGrants usable = grants.getOrDefault(upstream, UsableGrants.NONE);
            quota.put(
                    upstream,
                    new SlowStartQuota(
                            usable.launchedAtMicros, delegation.delegatedUntilMicros(upstream), usable.grants));
        }
        return quota;
    }

    private Map<String, UsableGrants> usableGrants(long nowMicros) {
        Map<String, UsableGrants> byUpstream = new HashMap<>();
        for (PlannerSelection.ReceivedPlan plan : planners.lastPlans()) {
            PlanMessage message = plan.message();
            long untilMicros = leaseClock.grantUsableUntilMicros(
                    message.echo().atMicros(), plan.receivedAtMicros(), message.grantDurationMicros());
            if (untilMicros > nowMicros) {
                for (PlanMessage.Grant grant : message.grants()) {
                    byUpstream
                            .computeIfAbsent(grant.upstream(), id -> new UsableGrants())
                            .add(grant, untilMicros);
                }
            }
        }
        return byUpstream;
    }

    /** All planners' grants on one upstream, and the latest start of its process that they are for. */
    private static final class UsableGrants {
        static final UsableGrants NONE = new UsableGrants();

        private final List<SlowStartGrant> grants = new ArrayList<>();
        private long launchedAtMicros;

        /** Adds a grant, unless it is for an earlier process of the upstream. */
        void add(PlanMessage.Grant grant, long untilMicros) {
            launchedAtMicros =
                    grants.isEmpty() ? grant.launchedAtMicros() : Math.max(launchedAtMicros, grant.launchedAtMicros());
            if (grant.launchedAtMicros() == launchedAtMicros) {
                grants.add(new SlowStartGrant(grant.rate(), untilMicros));
            }
        }
    }
}
