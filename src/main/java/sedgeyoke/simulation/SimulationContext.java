package sedgeyoke.simulation;

import java.util.SplittableRandom;
import sedgeyoke.model.InvariantChecker;
import sedgeyoke.model.UpstreamModel;

/** What all parts of one run share: time, chance, the network's delays and the judge. */
final class SimulationContext {
    /** Long enough after zero that a start at zero means long ago. */
    static final long START = 1_000_000_000L;

    final Scenario scenario;
    final EventQueue time = new EventQueue(START);
    final InvariantChecker checker;
    final SplittableRandom random;
    /** Whom faults strike: the same for the same seed, whatever policies and planners do. */
    final SplittableRandom faults;

    private final SplittableRandom delays;
    private final int[] cuts;
    /** Shares of answers that get lost and of connections that are reset, at the moment. */
    double lostAnswers;

    double resetConnections;

    SimulationContext(Scenario scenario, long seed) {
        this.scenario = scenario;
        SplittableRandom root = new SplittableRandom(seed);
        this.random = root.split();
        this.delays = root.split();
        this.faults = root.split();
        this.checker = new InvariantChecker(scenario.site());
        this.cuts = new int[scenario.site().zones().size()];
    }

    /** A zone is cut off from the others, or no longer so. */
    void cut(int zone, boolean on) {
        cuts[zone] += on ? 1 : -1;
    }

    /** Whether what one zone sends the other gets nowhere. */
    boolean severed(int from, int to) {
        return from != to && (cuts[from] > 0 || cuts[to] > 0);
    }

    /** One way between two zones, for one message. */
    long delay(int from, int to) {
        Scenario.Network n = scenario.network();
        long base = from == to ? n.inZoneUs() : n.crossZoneUs();
        double jitter = n.jitter() <= 0 ? 0 : -Math.log(1 - delays.nextDouble()) * n.jitter() * base;
        long stalled = n.stall() > 0 && delays.nextDouble() < n.stall() ? n.stallUs() : 0;
        return base + (long) jitter + stalled;
    }

    /** For node models. */
    UpstreamModel.Host host() {
        return new UpstreamModel.Host() {
            @Override
            public long now() {
                return time.now();
            }

            @Override
            public void schedule(long delay, Runnable what) {
                time.after(delay, what);
            }
        };
    }
}
