package sedgeyoke.policy;

import java.util.List;
import java.util.SplittableRandom;
import sedgeyoke.policy.LoadBalancingPolicy.AttemptEnd;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;

/**
 * Decides which requests are admitted, in what order they are served and which queued ones are shed. The admitted share
 * falls when responses take too much of their latency objectives, as serving all requests late would help no client.
 */
final class AdmissionControl {
    /** A rejection by an upstream counts as a response that took this multiple of its latency objective. */
    private static final double REJECTED_OBJECTIVE_SHARE = 1.5;

    private static final double MAX_OBJECTIVE_SHARE = 2;
    /** Target mean response time, as a share of the objective. */
    private static final double TARGET_OBJECTIVE_SHARE = 0.7;
    /** Change of the admitted share for a response that is 1.0 off the target. */
    private static final double GAIN = 0.2;

    private static final double MIN_ADMITTED = 0.1;
    private static final double REJECTION_DELAY_SMOOTHING = 0.05;

    private final Settings settings;
    private final SplittableRandom random;
    private final TrafficRegimeSelector regimes;
    private final ResponseTimes responseTimes;
    private final List<TokenBucket> tenantTokens;
    /** By class: mean time from the arrival of a client's first request to its rejection. */
    private final double[] rejectionDelaysMicros;

    private double admittedShare = 1;

    AdmissionControl(
            Settings settings, SplittableRandom random, TrafficRegimeSelector regimes, ResponseTimes responseTimes) {
        this.settings = settings;
        this.random = random;
        this.regimes = regimes;
        this.responseTimes = responseTimes;
        this.tenantTokens =
                settings.tenants().stream().map(tenant -> new TokenBucket()).toList();
        this.rejectionDelaysMicros = new double[settings.classes().size()];
    }

    /** The share of sparse traffic that is admitted, from 0.1 to 1. */
    double admittedShare() {
        return admittedShare;
    }

    /**
     * Whether to admit the next request: with sparse traffic at random, with the admitted share as probability; else
     * always.
     */
    boolean admits() {
        return !regimes.current().limitsAdmission() || random.nextDouble() < admittedShare;
    }

    /**
     * Adjusts the admitted share after an attempt. Those that never ran tell nothing, unless the upstream rejected
     * them.
     */
    void recordEnd(RequestState request, AttemptEnd end) {
        if (end.outcome() == Outcome.REJECTED) {
            adjust(REJECTED_OBJECTIVE_SHARE);
        } else if (!end.outcome().neverRan && !request.request.bodyPending()) {
            adjust((double) end.durationMicros() / request.requestClass.latencyObjectiveMicros());
        }
    }

    private void adjust(double objectiveShare) {
        double error = TARGET_OBJECTIVE_SHARE - Math.min(MAX_OBJECTIVE_SHARE, objectiveShare);
        admittedShare = Math.max(MIN_ADMITTED, Math.min(1, admittedShare + GAIN * error));
    }

    /**
     * Sets the priority of a request. The objective of a client's retry starts at the arrival of the client's first
     * request, which usually was rejected.
     */
    void prioritise(RequestState request, long nowMicros) {
        if (request.request.retry()) {
            request.objectiveAtMicros -= (long) rejectionDelaysMicros[request.request.classIndex()];
        }
        boolean withinQuota = takeTenantToken(request.request.tenant(), nowMicros);
        request.priority = request.requestClass.priorityWeight()
                / (settings.priorityWeightByWork() ? 1 : request.cost)
                * (withinQuota ? 1 : settings.overQuotaPriority());
    }

    /**
     * Charges a request to our part of its tenant's allowance. False if that is used up: the request then loses
     * priority.
     */
    private boolean takeTenantToken(int tenant, long nowMicros) {
        boolean known = tenant >= 0 && tenant < tenantTokens.size();
        double allowance = known ? settings.tenants().get(tenant).allowance() : 0;
        if (allowance <= 0) {
            return true;
        }
        return tenantTokens.get(tenant).tryTake(allowance / settings.groupSize(), nowMicros);
    }

    /** Whether a queued request can only be served late, which is worth nothing for its class. */
    boolean shouldShed(RequestState request, long nowMicros) {
        double expectedMicros = responseTimes.classMeanMicros(request.request.classIndex());
        return nowMicros + expectedMicros > request.objectiveAtMicros && request.requestClass.latePriorityWeight() <= 0;
    }

    void recordRejection(RequestState request, long nowMicros) {
        if (request.request.retry()) {
            return;
        }
        int classIndex = request.request.classIndex();
        double change = nowMicros - request.arrivedAtMicros - rejectionDelaysMicros[classIndex];
        rejectionDelaysMicros[classIndex] += REJECTION_DELAY_SMOOTHING * change;
    }
}
