package sedgeyoke.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import sedgeyoke.policy.LoadBalancingPolicy.Effect;
import sedgeyoke.policy.LoadBalancingPolicy.ListKind;
import sedgeyoke.policy.LoadBalancingPolicy.LoadReport;
import sedgeyoke.policy.LoadBalancingPolicy.Request;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;
import sedgeyoke.policy.LoadBalancingPolicy.State;
import sedgeyoke.policy.LoadBalancingPolicy.Upstream;

/**
 * The modules of a policy, with upstreams and requests for tests of single modules. Traffic is dense unless
 * {@link #sparse} is called.
 */
final class PolicyFixtures {
    static final long SECOND = PolicyHarness.SECOND;
    static final long MILLI = PolicyHarness.MILLI;
    static final long NOW = 100 * SECOND;

    final Settings settings;
    /** Records the actions of the modules. */
    final PolicyHarness actions = new PolicyHarness();

    final Jitter jitter = new Jitter(new SplittableRandom(1));
    final TrafficRegimeSelector regimes;
    final ZonePreference zones;
    final ResponseTimes responseTimes;
    final RequestRates rates;
    final LoadReports reports;
    final RequestCosts costs;
    final UpstreamRatings ratings;
    final AdmissionControl admission;
    final PlanBlend plans;
    final SlowStart slowStart;
    final ConcurrencyLimits limits;
    final OutlierDetection outliers;
    final Deadlines deadlines;
    final UpstreamTable upstreams;
    final UtilizationReweighting reweighting;
    final KeyAffinity affinity;
    final RequestQueue queue = new RequestQueue();
    final UpstreamEligibility eligibility;
    final UpstreamScore score;
    final UpstreamSelector selector;
    final AttemptSender sender;
    private long requestNumber;

    PolicyFixtures(PolicyHarness.Config config) {
        settings = config.settings();
        SplittableRandom random = new SplittableRandom(2);
        regimes = new TrafficRegimeSelector(settings.groupSize());
        zones = new ZonePreference(settings);
        responseTimes = new ResponseTimes(settings);
        rates = new RequestRates(settings);
        reports = new LoadReports(settings, responseTimes);
        costs = new RequestCosts(settings, responseTimes, rates);
        ratings = new UpstreamRatings(settings, reports, regimes);
        admission = new AdmissionControl(settings, random, regimes, responseTimes);
        plans = new PlanBlend(settings, zones);
        slowStart = new SlowStart(settings, random, plans, admission, rates, costs, ratings);
        limits = new ConcurrencyLimits(settings, regimes, responseTimes, reports, slowStart);
        outliers = new OutlierDetection(settings, regimes, responseTimes);
        deadlines = new Deadlines(settings);
        upstreams = new UpstreamTable(settings, slowStart, limits, zones, regimes);
        reweighting = new UtilizationReweighting(reports, ratings, jitter);
        affinity = new KeyAffinity(settings, upstreams, ratings, zones, reports, regimes);
        eligibility =
                new UpstreamEligibility(new RetryPolicy(settings, deadlines, regimes, actions), limits, slowStart);
        score = new UpstreamScore(regimes, reweighting, slowStart, zones, reports, costs);
        selector = new UpstreamSelector(
                upstreams, new Aperture(rates), eligibility, score, affinity, regimes, new SplittableRandom(3));
        sender = new AttemptSender(actions, queue, outliers, limits, slowStart);
        dense();
    }

    PolicyFixtures() {
        this(new PolicyHarness.Config());
    }

    void dense() {
        regimes.setReadyUpstreams(settings.groupSize());
    }

    void sparse() {
        regimes.setReadyUpstreams(settings.groupSize() - 1);
    }

    /** A ready upstream that was launched long ago; its zone is its number modulo 3. */
    UpstreamState upstream(int number) {
        return upstream(PolicyHarness.upstream(number, State.READY, 0));
    }

    UpstreamState upstream(Upstream endpoint) {
        return new UpstreamState(endpoint, 0, limits.newState(), slowStart.newState(endpoint, NOW));
    }

    List<UpstreamState> upstreams(int count) {
        List<UpstreamState> created = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            created.add(upstream(number));
        }
        return created;
    }

    /** Lists upstreams that were launched long ago and returns them in this balancer's order. */
    List<UpstreamState> list(int count) {
        List<Upstream> entries = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            entries.add(PolicyHarness.upstream(number, State.READY, 0));
        }
        upstreams.update(ListKind.COMPLETE, entries, NOW);
        return upstreams.ready();
    }

    /** A request that arrives now with a work hint, whose cost is known. */
    RequestState arrived(Effect effect) {
        return arrived(new Request("r" + requestNumber, effect.ordinal(), 0, null, 100, 2 * SECOND, false, false));
    }

    RequestState arrived(Request request) {
        RequestState state = request(request);
        costs.assign(state);
        return state;
    }

    /** A request without a work hint that arrives now and has two seconds left. */
    RequestState request(Effect effect) {
        return request(effect, 0);
    }

    RequestState request(Effect effect, long expectedWork) {
        int classIndex = effect.ordinal();
        String id = "r" + requestNumber;
        Request request = new Request(id, classIndex, 0, null, expectedWork, 2 * SECOND, false, false);
        return request(request);
    }

    RequestState request(Request request) {
        return new RequestState(request, settings.classes().get(request.classIndex()), requestNumber++, NOW);
    }

    /** Begins an attempt of the request; both the request and the upstream count it. */
    static AttemptState begin(RequestState request, UpstreamState upstream, long nowMicros) {
        AttemptState attempt = new AttemptState(upstream, nowMicros);
        request.begin(attempt);
        upstream.inFlight.begin(attempt, request.cost);
        return attempt;
    }

    static LoadReport serviceTimeReport(double serviceTimeMicros) {
        return new LoadReport(0.5, Double.NaN, Double.NaN, serviceTimeMicros, Double.NaN, Double.NaN);
    }
}
