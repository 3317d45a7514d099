package sedgeyoke.simulation;

import java.util.Arrays;

/**
 * The virtual clock and the events scheduled on it. Events run in the order of their time, and those of the same
 * microsecond in the order in which they were scheduled. The queue is a binary heap in parallel arrays: a run has tens
 * of millions of events, and an object for each would burden the garbage collector.
 */
final class EventQueue {
    private static final int INITIAL_CAPACITY = 1 << 12;

    private long[] times = new long[INITIAL_CAPACITY];
    private long[] sequenceNumbers = new long[INITIAL_CAPACITY];
    private Runnable[] events = new Runnable[INITIAL_CAPACITY];
    private int size;
    private long nextSequenceNumber;
    private long nowMicros;
    private long processed;

    EventQueue(long startMicros) {
        nowMicros = startMicros;
    }

    /** The virtual time, in microseconds. */
    long now() {
        return nowMicros;
    }

    /** How many events have run. */
    long processed() {
        return processed;
    }

    /** Schedules an event after a delay; a negative delay counts as 0. */
    void schedule(long delayMicros, Runnable event) {
        if (size == times.length) {
            grow();
        }
        long time = nowMicros + Math.max(0, delayMicros);
        long sequenceNumber = nextSequenceNumber++;
        int index = size++;
        while (index > 0) {
            int parent = (index - 1) >>> 1;
            if (times[parent] <= time) { // at equal times, the parent was scheduled earlier
                break;
            }
            move(parent, index);
            index = parent;
        }
        set(index, time, sequenceNumber, event);
    }

    /** Runs all events up to and including a time, and sets the clock to it. */
    void runUntil(long endMicros) {
        while (size > 0 && times[0] <= endMicros) {
            nowMicros = times[0];
            Runnable next = events[0];
            removeFirst();
            processed++;
            next.run();
        }
        nowMicros = Math.max(nowMicros, endMicros);
    }

    private void grow() {
        times = Arrays.copyOf(times, 2 * size);
        sequenceNumbers = Arrays.copyOf(sequenceNumbers, 2 * size);
        events = Arrays.copyOf(events, 2 * size);
    }

    /** Removes the root of the heap: the last element replaces it and is sifted down. */
    private void removeFirst() {
        long time = times[--size];
        long sequenceNumber = sequenceNumbers[size];
        Runnable last = events[size];
        events[size] = null;
        if (size == 0) {
            return;
        }
        int index = 0;
        for (int child = 1; child < size; child = 2 * index + 1) {
            if (child + 1 < size && isBefore(child + 1, times[child], sequenceNumbers[child])) {
                child++;
            }
            if (!isBefore(child, time, sequenceNumber)) {
                break;
            }
            move(child, index);
            index = child;
        }
        set(index, time, sequenceNumber, last);
    }

    private boolean isBefore(int index, long time, long sequenceNumber) {
        return times[index] < time || (times[index] == time && sequenceNumbers[index] < sequenceNumber);
    }

    private void move(int from, int to) {
        set(to, times[from], sequenceNumbers[from], events[from]);
    }

    private void set(int index, long time, long sequenceNumber, Runnable event) {
        times[index] = time;
        sequenceNumbers[index] = sequenceNumber;
        events[index] = event;
    }
}
