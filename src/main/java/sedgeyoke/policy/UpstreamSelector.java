package sedgeyoke.policy;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Selects an upstream for an attempt: of the upstreams that are in the aperture, eligible and have capacity, it draws
 * one with a probability in proportion to its score.
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

    /** An upstream for an immediate retry; it must have capacity only if the traffic regime limits retries. */
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
            // All balancers have the same affinity upstream for a key, so it lies outside of most apertures.
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
