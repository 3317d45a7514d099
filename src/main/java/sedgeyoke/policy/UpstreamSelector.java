package sedgeyoke.policy;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Selects an upstream for an attempt in four steps: is it eligible, has it capacity, what is its score, and
 * which one is drawn, in proportion to the scores.
 */
final class UpstreamSelector {
    private final UpstreamTable upstreams;
    private final Aperture aperture;
    private final UpstreamEligibility eligibility;
    private final UpstreamScore scoring;
    private final KeyAffinity affinity;
    private final TrafficRegimeSelector regimes;
    private final SplittableRandom random;

    UpstreamSelector(
            UpstreamTable upstreams,
            Aperture aperture,
            UpstreamEligibility eligibility,
            UpstreamScore scoring,
            KeyAffinity affinity,
            TrafficRegimeSelector regimes,
            SplittableRandom random) {
        this.upstreams = upstreams;
        this.aperture = aperture;
        this.eligibility = eligibility;
        this.scoring = scoring;
        this.affinity = affinity;
        this.regimes = regimes;
        this.random = random;
    }

    /** An upstream for a queued request; empty if none may take it now. */
    Optional<UpstreamState> selectForQueued(RequestState request, long nowMicros) {
        return select(request, true, nowMicros);
    }

    /** An upstream for a retry at once; it waits for capacity only where the traffic regime says so. */
    Optional<UpstreamState> selectForRetry(RequestState request, long nowMicros) {
        return select(request, regimes.current().limitsRetries(), nowMicros);
    }

    private Optional<UpstreamState> select(RequestState request, boolean needsCapacity, long nowMicros) {
        List<UpstreamState> ready = upstreams.ready();
        boolean panic = OutlierDetection.isPanic(ready, nowMicros);
        UpstreamState preferred = affinity.upstream(request, nowMicros).orElse(null);
        double[] scores = new double[ready.size()];
        double sum = 0;
        int apertureLeft = aperture.size(ready.size());
        for (int i = 0; i < scores.length; i++) {
            UpstreamState upstream = ready.get(i);
            // The affinity upstream is the same for all balancers, so most apertures leave it out.
            boolean inAperture = apertureLeft > 0 || upstream == preferred;
            if (inAperture
                    && eligibility.isEligible(upstream, request, panic, nowMicros)
                    && (!needsCapacity || eligibility.hasCapacity(upstream, nowMicros))) {
                scores[i] = scoring.score(upstream, request, upstream == preferred, nowMicros);
                sum += scores[i];
                apertureLeft--;
            }
        }
        return sum > 0 ? Optional.of(ready.get(WeightedDraw.draw(scores, sum, random))) : Optional.empty();
    }
}
