package sedgeyoke.drill;

/** Counts the seconds of a drill, so that a fault schedule can state times as shares of the whole. */
final class DrillClock {
    private final int seconds;
    private int second;

    /** Creates a clock at the first of this many seconds. */
    DrillClock(int seconds) {
        this.seconds = seconds;
    }

    boolean running() {
        return second < seconds;
    }

    void advance() {
        second++;
    }

    /** The current second, from 0. */
    int second() {
        return second;
    }

    /** The share of the drill that has elapsed. */
    double elapsedShare() {
        return second / (double) seconds;
    }

    /** Whether this share of the drill elapses in the current second. */
    boolean at(double share) {
        return second == (int) (share * seconds);
    }
}
