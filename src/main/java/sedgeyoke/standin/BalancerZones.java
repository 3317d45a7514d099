package sedgeyoke.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The balancers of each zone, to which the clients of that zone send requests. */
final class BalancerZones {
    private final List<List<Balancer>> balancersByZone = new ArrayList<>();

    BalancerZones(int zones) {
        for (int zone = 0; zone < zones; zone++) {
            balancersByZone.add(new ArrayList<>());
        }
    }

    void add(int zone, Balancer balancer) {
        balancersByZone.get(zone).add(balancer);
    }

    /** The balancers of that name in all zones. */
    List<Balancer> named(String name) {
        return balancersByZone.stream()
                .flatMap(List::stream)
                .filter(balancer -> balancer.name().equals(name))
                .toList();
    }

    /** Draws one of a zone's available balancers, or any balancer of the zone if none is available. */
    Balancer draw(int zone, long nowMicros, RequestGenerator generator) {
        List<Balancer> all = balancersByZone.get(zone);
        List<Balancer> available =
                all.stream().filter(balancer -> balancer.isAvailable(nowMicros)).toList();
        List<Balancer> candidates = available.isEmpty() ? all : available;
        return candidates.get(generator.drawIndex(candidates.size()));
    }

    /** A balancer of the zone that accepts connections. */
    Optional<Balancer> anyThatAcceptsConnections(int zone) {
        return balancersByZone.get(zone).stream()
                .filter(Balancer::acceptsConnections)
                .findFirst();
    }
}
