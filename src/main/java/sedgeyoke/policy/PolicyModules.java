package sedgeyoke.policy;

import java.util.SplittableRandom;
import sedgeyoke.policy.LoadBalancingPolicy.Actions;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;

/**
 * Creates the modules of a policy and gives each one the modules that it uses. A module can use only modules that are
 * created before it.
 */
final class PolicyModules {
    // Measurements.
    final RequestRates rates;
    final LoadReports reports;
    final RequestCosts costs;
    final UpstreamRatings ratings;
    // Requests.
    final Deadlines deadlines;
    final RequestTable requests;
    final RequestQueue queue = new RequestQueue();
    final AdmissionControl admission;
    final RetryPolicy retryPolicy;
    final RequestCompletion completion;
    // Upstreams.
    final PlanBlend plans;
    final SlowStart slowStart;
    final UpstreamTable upstreams;
    final OutlierDetection outliers;
    final UtilizationReweighting reweighting;
    final OutcomeRecorder outcomes;
    final Dispatcher dispatcher;
    // Periodic work, and the report to planners.
    final HealthChecks healthChecks;
    final EndpointSubscription subscription;
    final PlannerSummary summary;

    PolicyModules(Settings settings, SplittableRandom random, Actions actions) {
        Jitter jitter = new Jitter(random);
        TrafficRegimeSelector regimes = new TrafficRegimeSelector(settings.groupSize());
        ZonePreference zones = new ZonePreference(settings);
        ResponseTimes responseTimes = new ResponseTimes(settings);

        rates = new RequestRates(settings);
        reports = new LoadReports(settings, responseTimes);
        costs = new RequestCosts(settings, responseTimes, rates);
        ratings = new UpstreamRatings(settings, reports, regimes);

        deadlines = new Deadlines(settings);
        requests = new RequestTable(deadlines);
        admission = new AdmissionControl(settings, random, regimes, responseTimes);
        retryPolicy = new RetryPolicy(settings, deadlines, regimes, actions);
        completion = new RequestCompletion(settings, actions, admission, queue, requests);

        plans = new PlanBlend(settings, zones);
        slowStart = new SlowStart(settings, random, plans, admission, rates, costs, ratings);
        ConcurrencyLimits limits = new ConcurrencyLimits(settings, regimes, responseTimes, reports, slowStart);
        upstreams = new UpstreamTable(settings, slowStart, limits, zones, regimes);
        outliers = new OutlierDetection(settings, regimes, responseTimes);
        reweighting = new UtilizationReweighting(reports, ratings, jitter);
        outcomes = new OutcomeRecorder(outliers, limits, responseTimes, reports);

        KeyAffinity affinity = new KeyAffinity(settings, upstreams, ratings, zones, reports, regimes);
        UpstreamEligibility eligibility = new UpstreamEligibility(retryPolicy, limits, slowStart);
        UpstreamScore score = new UpstreamScore(regimes, reweighting, slowStart, zones, reports, costs);
        Aperture aperture = new Aperture(rates);
        UpstreamSelector selector =
                new UpstreamSelector(upstreams, aperture, eligibility, score, affinity, regimes, random);
        AttemptSender sender = new AttemptSender(actions, queue, outliers, limits, slowStart);
        dispatcher = new Dispatcher(queue, upstreams, selector, eligibility, affinity, sender);

        healthChecks = new HealthChecks(settings, actions, rates, jitter);
        subscription = new EndpointSubscription(settings, actions, jitter);
        summary = new PlannerSummary(upstreams, queue, rates, slowStart, reweighting);
    }
}
