package sedgeyoke.policy;

import java.util.List;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;

/** Decides what share of sparse traffic is admitted, and the priority and the objective of a request. */
final class AdmissionControl {
    static final double REJECTED_OBJECTIVE_SHARE = 1.5; // what a rejection by an upstream counts as
    private static final double TARGET = 0.7; // mean response time / objective
    private static final double GAIN = 0.2;
    private static final double MIN_ADMITTED = 0.1;
    private static final double REJECTION_DELAY_SMOOTHING = 0.05;

    private final Settings settings;
    private final List<TokenBucket> tenantTokens;
    private final double[] rejectionDelays; // by class: mean time until a first request was rejected
    private double admittedShare = 1;

    AdmissionControl(Settings settings) {
        this.settings = settings;
        this.tenantTokens =
                settings.tenants().stream().map(tenant -> new TokenBucket()).toList();
        this.rejectionDelays = new double[settings.classes().size()];
    }

    double admittedShare() {
        return admittedShare;
    }

    /** The admitted share follows how much of their objectives responses take: all late helps no client. */
    void adjust(double objectiveShare) {
        double moved = admittedShare + GAIN * (TARGET - Math.min(2, objectiveShare));
        admittedShare = Math.max(MIN_ADMITTED, Math.min(1, moved));
    }

    /** Sets its priority; the objective of a client's retry runs from its first, mostly rejected request. */
    void prioritise(RequestState request, long now) {
        long delay = (long) rejectionDelays[request.request.classIndex()];
        request.objectiveAt -= request.request.retry() ? delay : 0;
        request.priority = request.requestClass.priorityWeight()
                / (settings.priorityWeightByWork() ? 1 : request.cost)
                * (withinTenantQuota(request.request.tenant(), now) ? 1 : settings.overQuotaPriority());
    }

    /** Whether a request is within our share of its tenant's allowance; beyond it, it loses priority. */
    private boolean withinTenantQuota(int tenant, long now) {
        boolean known = tenant >= 0 && tenant < tenantTokens.size();
        double allowance = known ? settings.tenants().get(tenant).allowance() : 0;
        return allowance <= 0 || tenantTokens.get(tenant).tryTake(allowance / settings.groupSize(), now);
    }

    void recordRejection(RequestState request, long now) {
        int index = request.request.classIndex();
        double change = now - request.arrivedAt - rejectionDelays[index];
        rejectionDelays[index] += request.request.retry() ? 0 : REJECTION_DELAY_SMOOTHING * change;
    }
}
