package sedgeyoke.simulation;

/** The clock of a process, with a random skew and drift within the bounds of the scenario's network. */
final class SimulatedClock {
    private static final double PARTS_PER_MILLION = 1e-6;

    private final EventQueue events;
    private final long skewMicros;
    private final double drift;

    SimulatedClock(SimulationContext context) {
        Scenario.Network network = context.scenario.network();
        long maxSkewMicros = network.clockSkewMs() * 1_000;
        this.events = context.events;
        this.skewMicros = maxSkewMicros == 0 ? 0 : context.random.nextLong(-maxSkewMicros, maxSkewMicros + 1);
        this.drift = network.clockDriftPpm() * PARTS_PER_MILLION * (2 * context.random.nextDouble() - 1);
    }

    /** The current time of this clock, in microseconds. */
    long now() {
        long now = events.now();
        return now + skewMicros + (long) (drift * (now - SimulationContext.START));
    }
}
