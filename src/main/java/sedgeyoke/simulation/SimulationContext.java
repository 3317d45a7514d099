package sedgeyoke.simulation;

import java.util.SplittableRandom;
import sedgeyoke.model.InvariantChecker;
import sedgeyoke.model.UpstreamModel;

/**
 * State shared by all parts of a run: virtual time, random numbers, the network between zones, the invariant checker.
 */
final class SimulationContext {
    /** Virtual time at the start of a run; far from 0, because a launch time of 0 means that no slow start is due. */
    static final long START = 1_000_000_000L;

    final Scenario scenario;
    final EventQueue events = new EventQueue(START);
    final InvariantChecker checker;
    final SplittableRandom random;
    /** Draws the targets of faults; separate, so that they depend on the seed alone, not on policies and planners. */
    final SplittableRandom faultRandom;

    private final SplittableRandom delayRandom;
    /** The number of current partitions that isolate each zone. */
    private final int[] partitions;

    private double answerLossRate;
    private double connectionResetRate;

    SimulationContext(Scenario scenario, long seed) {
        this.scenario = scenario;
        SplittableRandom root = new SplittableRandom(seed);
        this.random = root.split();
        this.delayRandom = root.split();
        this.faultRandom = root.split();
        this.checker = new InvariantChecker(scenario.site());
        this.partitions = new int[scenario.site().zones().size()];
    }

    /** Partitions a zone from all others, or ends one such partition. */
    void setPartitioned(int zone, boolean partitioned) {
        partitions[zone] += partitioned ? 1 : -1;
    }

    /** Whether messages between two zones are lost. */
    boolean isPartitioned(int from, int to) {
        return from != to && (partitions[from] > 0 || partitions[to] > 0);
    }

    void setAnswerLossRate(double rate) {
        answerLossRate = rate;
    }

    /** Draws whether an answer is lost while its connection stays open. */
    boolean drawAnswerLoss() {
        return answerLossRate > 0 && random.nextDouble() < answerLossRate;
    }

    void setConnectionResetRate(double rate) {
        connectionResetRate = rate;
    }

    /** Draws whether a connection is reset instead of carrying an answer. */
    boolean drawConnectionReset() {
        return connectionResetRate > 0 && random.nextDouble() < connectionResetRate;
    }

    /** Draws the one-way delay of a message between two zones. */
    long drawDelay(int from, int to) {
        Scenario.Network network = scenario.network();
        long base = from == to ? network.inZoneUs() : network.crossZoneUs();
        double jitter =
                network.jitter() <= 0 ? 0 : -StrictMath.log(1 - delayRandom.nextDouble()) * network.jitter() * base;
        boolean stalled = network.stall() > 0 && delayRandom.nextDouble() < network.stall();
        return base + (long) jitter + (stalled ? network.stallUs() : 0);
    }

    /** The clock and timers of the upstream models. */
    UpstreamModel.Host upstreamHost() {
        return new UpstreamModel.Host() {
            @Override
            public long now() {
                return events.now();
            }

            @Override
            public void schedule(long delay, Runnable action) {
                events.schedule(delay, action);
            }
        };
    }
}
