package sedgeyoke.standin;

import java.util.SplittableRandom;
import sedgeyoke.model.RequestClassModel;
import sedgeyoke.model.SiteModel;

/** Draws the requests of clients: their class, zone and affinity key, and the intervals between them. */
final class RequestGenerator {
    private static final int KEYS = 500;
    private static final long COUNTER_MASK = 0xffffff;

    private final SiteModel site;
    private final SplittableRandom random;
    private final double[] zoneShares;
    private long idCounter;

    RequestGenerator(SiteModel site, double[] zoneShares, long seed) {
        this.site = site;
        this.zoneShares = zoneShares.clone();
        this.random = new SplittableRandom(seed);
    }

    /** Sets a zone's share of the traffic; the shares need not sum up to one. */
    void setZoneShare(int zone, double share) {
        zoneShares[zone] = share;
    }

    /** Draws the time to the next request of a Poisson process. */
    long drawIntervalMicros(double requestsPerSecond) {
        return (long) (-Math.log(1 - random.nextDouble()) * 1e6 / requestsPerSecond);
    }

    ClientRequest draw(long nowMicros) {
        RequestClassModel requestClass = drawClass();
        int zone = drawZone();
        double popularity = random.nextDouble();
        String affinityKey = "o" + (int) (KEYS * popularity * popularity);
        String idempotencyKey = requestClass.keyed() ? "k-" + drawId() : null;
        return new ClientRequest(requestClass, zone, nowMicros, affinityKey, idempotencyKey);
    }

    /** Draws a unique id: random digits, then a counter in the last ones. */
    String drawId() {
        return String.format("%016x", (random.nextLong() & ~COUNTER_MASK) | (idCounter++ & COUNTER_MASK));
    }

    /** Draws an index below a bound, uniformly. */
    int drawIndex(int bound) {
        return random.nextInt(bound);
    }

    private RequestClassModel drawClass() {
        double left = random.nextDouble();
        for (RequestClassModel requestClass : site.classes()) {
            left -= requestClass.share();
            if (left < 0) {
                return requestClass;
            }
        }
        return site.classes().get(site.classes().size() - 1);
    }

    private int drawZone() {
        double sum = 0;
        for (double share : zoneShares) {
            sum += share;
        }
        double left = random.nextDouble() * sum;
        int zone = 0;
        while (zone < zoneShares.length - 1 && left >= zoneShares[zone]) {
            left -= zoneShares[zone];
            zone++;
        }
        return zone;
    }
}
