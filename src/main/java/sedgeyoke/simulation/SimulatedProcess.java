package sedgeyoke.simulation;

/**
 * The life cycle of a simulated process: it can be killed, started again as a new incarnation, and paused. Events that
 * were meant for an earlier incarnation are dropped; those that fall into a pause run after it, in order.
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

    /** Counts starts and ends, so it identifies the process that runs now. */
    int incarnation() {
        return incarnation;
    }

    boolean isRunning(int ofIncarnation) {
        return running && ofIncarnation == incarnation;
    }

    /** Runs an action in an incarnation, if that still runs, now or after the pause. */
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

    /** Schedules an action in the incarnation that runs now. */
    void schedule(long delayMicros, Runnable action) {
        int scheduledBy = incarnation;
        events.schedule(delayMicros, () -> execute(scheduledBy, action));
    }
}
