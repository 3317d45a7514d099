package sedgeyoke.plan;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * How much of each zone's traffic goes where: a zone keeps what its own upstreams carry, and what is over goes to
 * zones with room, in proportion to that room. Where no zone has room, all are to be equally full.
 */
final class ZoneSpillover {
    /** A zone is full at that share of what its upstreams can do. */
    private static final double FULL = 0.8;
    /** Every zone counts a little for every other, or a limit of nothing would stop what is sent there all the same. */
    private static final double LEAST_SHARE = 0.05;

    private final double[][] shares;
    /** What all forwarders together count for, by the upstream's zone. */
    private final double[] counted;

    private ZoneSpillover(double[][] shares, double[] demand) {
        this.shares = shares;
        this.counted = new double[shares.length];
        for (int to = 0; to < shares.length; to++) {
            for (int from = 0; from < shares.length; from++) {
                counted[to] += demand[from] * affinity(from, to);
            }
        }
    }

    static ZoneSpillover of(UpstreamAggregate fleet, Collection<Planner.Member> members) {
        int zones = Math.max(
                fleet.zones(),
                members.stream().mapToInt(m -> m.last.zone() + 1).max().orElse(0));
        double[] demand = new double[zones];
        members.forEach(m -> demand[m.last.zone()] += m.demand());
        return of(demand, fleet.zoneCapacity(zones));
    }

    /** Demand and capacity by zone, in requests a second. */
    static ZoneSpillover of(double[] demand, double[] capacity) {
        int zones = demand.length;
        double wanted = 0;
        double possible = 0;
        for (int z = 0; z < zones; z++) {
            wanted += demand[z];
            possible += capacity[z];
        }
        double full = possible > 0 ? Math.max(FULL, wanted / possible) : 0;
        double[] room = new double[zones];
        double allRoom = 0;
        for (int z = 0; z < zones; z++) {
            room[z] = Math.max(0, full * capacity[z] - demand[z]);
            allRoom += room[z];
        }
        double[][] shares = new double[zones][zones];
        for (int z = 0; z < zones; z++) {
            double over = demand[z] <= 0 || possible <= 0 || allRoom <= 0
                    ? 0
                    : Math.max(0, demand[z] - full * capacity[z]) / demand[z];
            for (int to = 0; to < zones; to++) {
                shares[z][to] = to == z ? 1 - over : allRoom > 0 ? over * room[to] / allRoom : 0;
            }
        }
        return new ZoneSpillover(shares, demand);
    }

    /** Share of a zone's requests that goes to each zone. */
    List<Double> row(int zone) {
        List<Double> row = new ArrayList<>();
        for (double share : shares[zone]) {
            row.add(share);
        }
        return row;
    }

    /** How much one zone counts for upstreams of another, 0 to about 1. */
    double affinity(int from, int to) {
        return from < shares.length && to >= 0 && to < shares.length ? shares[from][to] + LEAST_SHARE : LEAST_SHARE;
    }

    /** A forwarder's part of an upstream's in-flight limit, by the upstream's zone: by what it is asked for. */
    List<Double> limitShares(int zone, double ownDemand) {
        List<Double> parts = new ArrayList<>();
        for (int to = 0; to < shares.length; to++) {
            parts.add(counted[to] > 0 ? ownDemand * affinity(zone, to) / counted[to] : Double.NaN);
        }
        return parts;
    }
}
