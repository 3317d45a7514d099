package sedgeyoke.policy;

import java.util.List;
import java.util.SplittableRandom;
import sedgeyoke.policy.LoadBalancingPolicy.PlatformRules;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;
import sedgeyoke.policy.LoadBalancingPolicy.SlowStartQuota;
import sedgeyoke.policy.LoadBalancingPolicy.Upstream;
import sedgeyoke.policy.LoadBalancingPolicy.UpstreamView;

/**
 * Limits the requests to a warming-up upstream, so that it is not overloaded.
 *
 * <p>The platform's rule: in one overload window, all balancers together may send it at most N + 2 √N + 2 requests of
 * mean work (N + 3 √N + 3 for N below 30); with more, it fails. N is {@code overloadMultiple} times its capacity in
 * that window, which grows evenly from {@code initialCapacity} to 1 over the slow-start time.
 *
 * <p>Each balancer has a part of N in proportion to its share of the traffic and spends it from a
 * {@link SlowStartBucket}, unless planners delegate quotas between balancers.
 */
final class SlowStart {
    private static final double MICROS_PER_SECOND = 1e6;
    /**
     * Share of our quota that we use: balancers choose independently, and several may choose an upstream at the same
     * time.
     */
    private static final double QUOTA_USE = 0.5;
    /** Least size of a bucket, in mean requests: a smaller one might never let a request pass. */
    private static final double MIN_BUCKET_SIZE = 1.5;

    private final PlatformRules rules;
    private final SplittableRandom random;
    private final PlanBlend plans;
    private final AdmissionControl admission;
    private final RequestRates rates;
    private final RequestCosts costs;
    private final UpstreamRatings ratings;
    private final LaunchTimes launchTimes = new LaunchTimes();

    SlowStart(
            Settings settings,
            SplittableRandom random,
            PlanBlend plans,
            AdmissionControl admission,
            RequestRates rates,
            RequestCosts costs,
            UpstreamRatings ratings) {
        this.rules = settings.rules();
        this.random = random;
        this.plans = plans;
        this.admission = admission;
        this.rates = rates;
        this.costs = costs;
        this.ratings = ratings;
    }

    /** The slow start of one process of an upstream. */
    static final class State {
        private SlowStartBucket bucket;
        /** A launch that may not be in the endpoint list yet; 0 for none. */
        private long notifiedLaunchMicros;
        /** When slow start began by our own clock, 0 for long ago; launch timestamps only tell processes apart. */
        private long beganAtMicros;

        private State(SlowStartBucket bucket, long notifiedLaunchMicros, long beganAtMicros) {
            this.bucket = bucket;
            this.notifiedLaunchMicros = notifiedLaunchMicros;
            this.beganAtMicros = beganAtMicros;
        }

        /** The launch that a planner reported or the end of a cordon implied; 0 for none. */
        long notifiedLaunchMicros() {
            return notifiedLaunchMicros;
        }
    }

    /** Reads the launch timestamps of a list, before its upstreams get their state. */
    void observeTimestamps(List<Upstream> entries, long nowMicros) {
        launchTimes.observeTimestamps(entries, nowMicros);
    }

    /** From now on, launches are seen as they are listed; see {@link LaunchTimes#startWatching}. */
    void startWatching() {
        launchTimes.startWatching();
    }

    /** The state of a process that is new in the endpoint list. */
    State newState(Upstream entry, long nowMicros) {
        SlowStartBucket bucket = new SlowStartBucket(random.nextDouble(), nowMicros);
        return new State(bucket, 0, launchTimes.beganAtMicros(entry.id(), entry.launchedAtMicros(), nowMicros));
    }

    /** The state of an upstream whose cordon has ended: its slow start begins now. */
    State afterCordon(long nowMicros) {
        return new State(new SlowStartBucket(random.nextDouble(), nowMicros), nowMicros, nowMicros);
    }

    /** Records a later launch that a planner knows of, which the endpoint list will contain soon. */
    void notifyLaunch(UpstreamState upstream, UpstreamView view, long nowMicros) {
        long launchMicros = view.launchedAtMicros();
        boolean plausible = launchMicros <= nowMicros + rules.slowStartTimeMicros();
        if (launchMicros > upstream.launchedAtMicros() && plausible) {
            State state = upstream.slowStart;
            state.notifiedLaunchMicros = launchMicros;
            state.beganAtMicros = launchTimes.beganAtMicros(upstream.id, launchMicros, nowMicros);
            state.bucket = new SlowStartBucket(0, nowMicros);
        }
    }

    boolean isWarmingUp(UpstreamState upstream, long nowMicros) {
        return warmUpFactor(upstream, nowMicros) < 1;
    }

    /** The present capacity of an upstream as a share of its capacity after the slow start. */
    double warmUpFactor(UpstreamState upstream, long nowMicros) {
        long beganAtMicros = upstream.slowStart.beganAtMicros;
        long ageMicros = nowMicros - beganAtMicros;
        long slowStartMicros = rules.slowStartTimeMicros();
        if (beganAtMicros <= 0 || ageMicros >= slowStartMicros || slowStartMicros <= 0) {
            return 1;
        }
        double initial = rules.initialCapacity();
        return initial + (1 - initial) * Math.max(0, ageMicros) / slowStartMicros;
    }

    /**
     * Refills the bucket and returns whether it has enough tokens for the request. Requests with pending bodies must
     * wait, as many bodies could end at the same time.
     */
    boolean allows(UpstreamState upstream, RequestState request, long nowMicros) {
        if (!isWarmingUp(upstream, nowMicros)) {
            return true;
        }
        refill(upstream, nowMicros);
        double tokens = upstream.slowStart.bucket.tokens();
        return !request.request.bodyPending() && tokens >= costs.inMeanRequests(request);
    }

    /** Charges an attempt to the quota of its upstream. */
    void spend(UpstreamState upstream, RequestState request) {
        upstream.slowStart.bucket.spend(costs.inMeanRequests(request));
    }

    /** Our own quota in mean requests per second; 0 for an upstream that is not warming up. */
    double ownQuotaPerSecond(UpstreamState upstream, long nowMicros) {
        boolean limited = isWarmingUp(upstream, nowMicros) && costs.mean() > 0;
        return limited ? ownQuotaPerMicro(upstream, nowMicros) * MICROS_PER_SECOND : 0;
    }

    private double ownQuotaPerMicro(UpstreamState upstream, long nowMicros) {
        double rating = ratings.rating(upstream);
        double requests = rates.firstRequestsPerSecond();
        double admitted = Math.sqrt(admission.admittedShare()) * requests / MICROS_PER_SECOND;
        double evenShare = admitted * rating / Math.max(ratings.sum(), rating);
        return QUOTA_USE * rules.overloadMultiple() * warmUpFactor(upstream, nowMicros) * evenShare;
    }

    /** Refills the buckets of warming-up upstreams up to now; to be called before and after a plan changes quotas. */
    void refill(List<UpstreamState> upstreams, long nowMicros) {
        for (UpstreamState upstream : upstreams) {
            if (isWarmingUp(upstream, nowMicros)) {
                refill(upstream, nowMicros);
            }
        }
    }

    private void refill(UpstreamState upstream, long nowMicros) {
        SlowStartQuota agreed = plans.slowStartQuota(upstream.id, upstream.launchedAtMicros());
        upstream.slowStart.bucket.refill(
                nowMicros,
                ownQuotaPerMicro(upstream, nowMicros),
                agreed,
                plans.ownQuotaBlockedUntilMicros(),
                rules.overloadWindowMicros(),
                MIN_BUCKET_SIZE);
    }
}
