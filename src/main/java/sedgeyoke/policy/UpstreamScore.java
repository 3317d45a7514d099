package sedgeyoke.policy;

/**
 * Scores an upstream for a request, as in Envoy's weighted least request: with dense traffic,
 * (weight / (in flight + 1))^4; with sparse traffic, weight / slowness / (all in flight + 1)^4.
 */
final class UpstreamScore {
    private final TrafficRegimeSelector regimes;
    private final UtilizationReweighting reweighting;
    private final SlowStart slowStart;
    private final ZonePreference zones;
    private final LoadReports reports;
    private final RequestCosts costs;

    UpstreamScore(
            TrafficRegimeSelector regimes,
            UtilizationReweighting reweighting,
            SlowStart slowStart,
            ZonePreference zones,
            LoadReports reports,
            RequestCosts costs) {
        this.regimes = regimes;
        this.reweighting = reweighting;
        this.slowStart = slowStart;
        this.zones = zones;
        this.reports = reports;
        this.costs = costs;
    }

    /**
     * The score, which is never negative. {@code isAffinityUpstream} says that the request's key prefers this upstream.
     */
    double score(UpstreamState upstream, RequestState request, boolean isAffinityUpstream, long nowMicros) {
        TrafficRegime regime = regimes.current();
        double warmUpFactor = slowStart.warmUpFactor(upstream, nowMicros);
        double weight = weight(upstream, request, warmUpFactor);
        boolean favoured = isAffinityUpstream || (regime.prefersWarmingUp() && warmUpFactor < 1);
        double affinityFactor = favoured ? fourthPower(regime.affinityWeight()) : 1;
        double inFlight = upstream.inFlight.inMeanRequests(costs.mean());
        double othersInFlight = regime.othersInFlight(reports, upstream, nowMicros);
        double score = regime.score(weight, reports, upstream, nowMicros);
        return score * affinityFactor / fourthPower(inFlight + othersInFlight + 1);
    }

    private double weight(UpstreamState upstream, RequestState request, double warmUpFactor) {
        double weight = reweighting.weight(upstream) * warmUpFactor * OutlierDetection.errorFactor(upstream);
        weight *= zones.weight(upstream) + upstream.plan.spilloverWeight();
        return weight * OutlierDetection.recoveryFactor(upstream, request.requestClass.effect());
    }

    static double fourthPower(double value) {
        return value * value * value * value;
    }
}
