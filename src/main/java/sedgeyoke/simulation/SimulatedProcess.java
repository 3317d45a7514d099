package sedgeyoke.simulation;

/**
 * The life cycle of a simulated process: it can be killed, restarted as a new incarnation, and paused. Actions
 * scheduled by an earlier incarnation are dropped; actions that become due during a pause run after it, in order.
 */
final class SimulatedProcess {
    private final EventQueue events;
    private int incarnation;
    private boolean running;
    private long pausedUntilMicros;

    SimulatedProcess(EventQueue events) {
        this.events = events;
    }

    void start() {
        running = true;
        incarnation++;
    }

    void kill() {
        running = false;
        incarnation++;
    }

    void pauseUntil(long timeMicros) {
        pausedUntilMicros = timeMicros;
    }

    boolean running() {
        return running;
    }

    /** The number of starts and kills so far, which identifies the process that runs now. */
    int incarnation() {
        return incarnation;
    }

    boolean isRunning(int ofIncarnation) {
        return running && ofIncarnation == incarnation;
    }

    /** Runs an action now, or after the pause, if the given incarnation is still running then. */
    void execute(int inIncarnation, Runnable action) {
        if (!isRunning(inIncarnation)) {
            return;
        }
        if (events.now() < pausedUntilMicros) {
            events.schedule(pausedUntilMicros - events.now(), () -> execute(inIncarnation, action));
        } else {
            action.run();
        }
    }

    /** Schedules an action of the current incarnation. */
    void schedule(long delayMicros, Runnable action) {
        int scheduledBy = incarnation;
        events.schedule(delayMicros, () -> execute(scheduledBy, action));
    }
}
