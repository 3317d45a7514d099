package sedgeyoke.plan;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Computes how the requests of each zone are distributed among the zones. A zone keeps what its own upstreams can
 * serve; the excess spills over to zones with spare capacity, in proportion to it. If demand exceeds the capacity of
 * all zones, the zones are utilised equally.
 */
final class ZoneSpillover {
    /** A zone counts as full at this utilisation. */
    private static final double FULL_UTILISATION = 0.8;
    /**
     * Added to all affinities: with an affinity of 0, a forwarder's in-flight limit in the zone would be 0, and stray
     * requests to it would be rejected.
     */
    private static final double MIN_AFFINITY = 0.05;

    /** Share of the requests of the zone of the first index that goes to the zone of the second. */
    private final double[][] shares;
    /** Demand of all forwarders, weighted by the affinity of their zone to the zone of the index. */
    private final double[] weightedDemand;

    private ZoneSpillover(double[][] shares, double[] demand) {
        this.shares = shares;
        this.weightedDemand = new double[shares.length];
        for (int to = 0; to < shares.length; to++) {
            for (int from = 0; from < shares.length; from++) {
                weightedDemand[to] += demand[from] * affinity(from, to);
            }
        }
    }

    static ZoneSpillover of(UpstreamAggregate upstreams, Collection<ReportingForwarder> forwarders) {
        int zones = upstreams.zones();
        for (ReportingForwarder forwarder : forwarders) {
            zones = Math.max(zones, forwarder.zone() + 1);
        }
        double[] demand = new double[zones];
        for (ReportingForwarder forwarder : forwarders) {
            demand[forwarder.zone()] += forwarder.demand();
        }
        return of(demand, upstreams.zoneCapacities(zones));
    }

    /** Computes the shares from demand and capacity by zone, both in requests a second. */
    static ZoneSpillover of(double[] demand, double[] capacity) {
        double totalDemand = 0;
        double totalCapacity = 0;
        for (int zone = 0; zone < demand.length; zone++) {
            totalDemand += demand[zone];
            totalCapacity += capacity[zone];
        }
        double target = totalCapacity > 0 ? Math.max(FULL_UTILISATION, totalDemand / totalCapacity) : 0;
        return new ZoneSpillover(shares(demand, capacity, target), demand);
    }

    /** Returns the shares with which no zone's utilisation exceeds {@code target}. */
    private static double[][] shares(double[] demand, double[] capacity, double target) {
        int zones = demand.length;
        double[] spare = new double[zones];
        double totalSpare = 0;
        for (int zone = 0; zone < zones; zone++) {
            spare[zone] = Math.max(0, target * capacity[zone] - demand[zone]);
            totalSpare += spare[zone];
        }
        double[][] shares = new double[zones][zones];
        for (int from = 0; from < zones; from++) {
            boolean canSpill = demand[from] > 0 && totalSpare > 0;
            double excess = canSpill ? Math.max(0, demand[from] - target * capacity[from]) / demand[from] : 0;
            for (int to = 0; to < zones; to++) {
                double spilled = totalSpare > 0 ? excess * spare[to] / totalSpare : 0;
                shares[from][to] = to == from ? 1 - excess : spilled;
            }
        }
        return shares;
    }

    /** Returns the share of a zone's requests that goes to each zone. */
    List<Double> sharesFrom(int zone) {
        List<Double> row = new ArrayList<>();
        for (double share : shares[zone]) {
            row.add(share);
        }
        return row;
    }

    /** Returns how much the demand of a forwarder in one zone counts for upstreams in another, 0 to about 1. */
    double affinity(int from, int to) {
        boolean known = from < shares.length && to >= 0 && to < shares.length;
        return known ? shares[from][to] + MIN_AFFINITY : MIN_AFFINITY;
    }

    /**
     * Returns a forwarder's share of an upstream's in-flight limit by the upstream's zone, in proportion to its demand.
     */
    List<Double> limitShares(int zone, double demand) {
        List<Double> limitShares = new ArrayList<>();
        for (int to = 0; to < shares.length; to++) {
            boolean demanded = weightedDemand[to] > 0;
            limitShares.add(demanded ? demand * affinity(zone, to) / weightedDemand[to] : Double.NaN);
        }
        return limitShares;
    }
}
