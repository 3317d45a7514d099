package sedgeyoke.policy;

/** Limits the upstreams that are chosen from to as many as our requests suffice to learn about. */
final class Aperture {
    /** The requests of this time are as many as the aperture has upstreams. */
    private static final double REQUESTS_OF_SECONDS = 3;

    private static final int MIN_SIZE = 6;
    /** Periods of the request rate before it is known; until then all upstreams are chosen from. */
    private static final int MIN_PERIODS = 4;

    private final RequestRates rates;

    Aperture(RequestRates rates) {
        this.rates = rates;
    }

    /** How many upstreams, from the first in our order on, a request is offered to. */
    int size(int readyUpstreams) {
        if (rates.periods() < MIN_PERIODS) {
            return readyUpstreams;
        }
        return (int) Math.max(MIN_SIZE, rates.firstRequestsPerSecond() * REQUESTS_OF_SECONDS);
    }
}
