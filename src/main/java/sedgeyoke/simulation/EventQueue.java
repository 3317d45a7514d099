package sedgeyoke.simulation;

import java.util.Arrays;

/**
 * Virtual time: what is to happen, in the order of its time and, within one microsecond, in the order in which it was
 * asked for. A heap in two arrays: a run has tens of millions of events.
 */
final class EventQueue {
    private static final int FIRST_SIZE = 1 << 12;

    private long[] times = new long[FIRST_SIZE];
    private long[] numbers = new long[FIRST_SIZE];
    private Runnable[] events = new Runnable[FIRST_SIZE];
    private int size;
    private long number;
    private long now;
    private long done;

    EventQueue(long start) {
        now = start;
    }

    /** Microseconds. */
    long now() {
        return now;
    }

    /** Events so far. */
    long done() {
        return done;
    }

    /** Has something happen after a delay, at once at the earliest. */
    void after(long delay, Runnable what) {
        if (size == times.length) {
            times = Arrays.copyOf(times, 2 * size);
            numbers = Arrays.copyOf(numbers, 2 * size);
            events = Arrays.copyOf(events, 2 * size);
        }
        long time = now + Math.max(0, delay);
        int at = size++;
        long mine = number++;
        while (at > 0) {
            int parent = (at - 1) >>> 1;
            if (times[parent] <= time) { // of the same time, the parent was asked for before
                break;
            }
            move(parent, at);
            at = parent;
        }
        set(at, time, mine, what);
    }

    /** Runs all up to and including a time. */
    void runUntil(long end) {
        while (size > 0 && times[0] <= end) {
            now = times[0];
            Runnable next = events[0];
            removeFirst();
            done++;
            next.run();
        }
        now = Math.max(now, end);
    }

    private void removeFirst() {
        long time = times[--size];
        long mine = numbers[size];
        Runnable last = events[size];
        events[size] = null;
        if (size == 0) {
            return;
        }
        int at = 0;
        for (int child = 1; child < size; child = 2 * at + 1) {
            if (child + 1 < size && before(child + 1, times[child], numbers[child])) {
                child++;
            }
            if (!before(child, time, mine)) {
                break;
            }
            move(child, at);
            at = child;
        }
        set(at, time, mine, last);
    }

    private boolean before(int a, long time, long mine) {
        return times[a] < time || times[a] == time && numbers[a] < mine;
    }

    private void move(int from, int to) {
        set(to, times[from], numbers[from], events[from]);
    }

    private void set(int at, long time, long mine, Runnable what) {
        times[at] = time;
        numbers[at] = mine;
        events[at] = what;
    }
}
