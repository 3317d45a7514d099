package sedgeyoke.policy;

/** Limits how many upstreams this balancer chooses from, so that each gets enough of its requests to learn from. */
final class Aperture {
    /** The aperture has as many upstreams as requests arrive in this time. */
    private static final double SECONDS_OF_REQUESTS = 3;

    private static final int MIN_SIZE = 6;
    /** Measured periods until the request rate is known; before, all upstreams are in the aperture. */
    private static final int MIN_PERIODS = 4;

    private final RequestRates rates;

    Aperture(RequestRates rates) {
        this.rates = rates;
    }

    /** How many upstreams, from the first in our order on, a request may be sent to. */
    int size(int readyUpstreams) {
        if (rates.periods() < MIN_PERIODS) {
            return readyUpstreams;
        }
        return (int) Math.max(MIN_SIZE, rates.firstRequestsPerSecond() * SECONDS_OF_REQUESTS);
    }
}
