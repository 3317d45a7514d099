package sedgeyoke.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** The layer 4 load balancer in front of one zone's forwarders; it detects a dead forwarder after a delay. */
final class ZoneFrontend {
    private final SimulationContext context;
    private final SplittableRandom random;
    private final List<Backend> backends = new ArrayList<>();

    /** A forwarder with its weight, and the time since which it has accepted no requests. */
    private static final class Backend {
        private static final long NEVER = Long.MAX_VALUE;

        private final SimulatedForwarder forwarder;
        private double weight = 1;
        private long downSinceMicros = NEVER;

        Backend(SimulatedForwarder forwarder) {
            this.forwarder = forwarder;
        }

        void updateState(long nowMicros) {
            downSinceMicros = forwarder.acceptsRequests() ? NEVER : Math.min(downSinceMicros, nowMicros);
        }

        boolean isInService(long nowMicros, long detectionMicros) {
            return downSinceMicros == NEVER || nowMicros - downSinceMicros < detectionMicros;
        }
    }

    ZoneFrontend(SimulationContext context, SplittableRandom random) {
        this.context = context;
        this.random = random;
    }

    /** Adds a forwarder; weights fall linearly from 1 plus the imbalance for the first to 1 for the last. */
    void add(SimulatedForwarder forwarder) {
        backends.add(new Backend(forwarder));
        double imbalance = context.scenario.traffic().forwarderImbalance();
        for (int i = 0; i < backends.size(); i++) {
            double position = backends.size() == 1 ? 0 : i / (double) (backends.size() - 1);
            backends.get(i).weight = 1 + imbalance * (1 - position);
        }
    }

    /** Chooses a forwarder by weighted random choice among those not detected as down; null if there is none. */
    SimulatedForwarder choose() {
        long now = context.events.now();
        long detectionMicros = context.scenario.network().failureDetectionMs() * 1_000;
        double totalWeight = 0;
        for (Backend backend : backends) {
            backend.updateState(now);
            totalWeight += backend.isInService(now, detectionMicros) ? backend.weight : 0;
        }
        double remaining = random.nextDouble() * totalWeight;
        SimulatedForwarder chosen = null;
        for (Backend backend : backends) {
            if (backend.isInService(now, detectionMicros)) {
                chosen = backend.forwarder;
                remaining -= backend.weight;
                if (remaining < 0) {
                    break;
                }
            }
        }
        return chosen;
    }
}
