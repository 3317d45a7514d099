package sedgeyoke.drill;

/** Counts the seconds of a drill, so that a script can name its steps by their share of the whole. */
final class DrillClock {
    private final int seconds;
    private int second;

    /** At the first of so many seconds. */
    DrillClock(int seconds) {
        this.seconds = seconds;
    }

    boolean running() {
        return second < seconds;
    }

    void advance() {
        second++;
    }

    /** The present second, from 0. */
    int second() {
        return second;
    }

    /** The share of the drill that is over. */
    double elapsedShare() {
        return second / (double) seconds;
    }

    /** Whether this is the second in which a share of the drill is over. */
    boolean at(double share) {
        return second == (int) (share * seconds);
    }
}
