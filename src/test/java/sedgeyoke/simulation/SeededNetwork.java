package sedgeyoke.simulation;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Processes on one thread, with clocks that drift, a network that loses, doubles, delays and cuts one way, crashes and
 * pauses, all by seed. What a process decides is its own class's; this one only lets things happen to it.
 */
public abstract class SeededNetwork {
    /** How far time goes in one step, in microseconds. */
    public static final long STEP_MICROS = 10_000;

    /** By the seed; whoever needs chance takes it from here. */
    protected final SplittableRandom random;
    /** How bad things get, 0 to 1. */
    protected final double severity;

    private final PriorityQueue<Message> inFlight = new PriorityQueue<>((a, b) ->
            a.deliverAt != b.deliverAt ? Long.compare(a.deliverAt, b.deliverAt) : Long.compare(a.number, b.number));
    private final List<Process> processes = new ArrayList<>();
    private final double lossRate;
    private final double longDelayRate;
    private boolean[][] linkDown = new boolean[0][0];
    private long nextMessageNumber;
    private boolean stopFaults;
    /** True time, in microseconds. */
    protected long now;
    /** What was broken, or null. */
    protected String violation;

    private record Message(long deliverAt, long number, int receiver, Object body) {}

    /** A world of a seed. */
    protected SeededNetwork(long seed) {
        random = new SplittableRandom(seed);
        severity = random.nextDouble();
        lossRate = severity * random.nextDouble() * 0.2;
        longDelayRate = severity * random.nextDouble() * 0.4;
    }

    /** Plays until then; what was broken, or null. */
    protected final String runUntil(long end) {
        while (now < end && violation == null) {
            now += STEP_MICROS;
            if (!stopFaults) {
                injectFaults();
            }
            while (!inFlight.isEmpty() && inFlight.peek().deliverAt <= now) {
                Message message = inFlight.poll();
                processes.get(message.receiver).deliver(message.body);
            }
            for (Process process : processes) {
                if (process.resumeIfDue()) {
                    process.step();
                }
            }
            check();
        }
        return violation;
    }

    /** From now on nothing fails any more; what is down comes back. */
    protected final void stopFaults() {
        stopFaults = true;
        heal();
        processes.forEach(process -> {
            process.pausedUntil = Math.min(process.pausedUntil, now);
            process.crashedUntil = Math.min(process.crashedUntil, now);
        });
    }

    /** True with so many chances a second. */
    protected final boolean happens(double ratePerSecond) {
        return random.nextDouble() < ratePerSecond * STEP_MICROS / 1e6;
    }

    /** What goes wrong in this step. */
    protected abstract void injectFaults();

    /** Looks at everything after each step; sets {@link #breach}. */
    protected abstract void check();

    /** Cuts or opens the way from one process to another, and not the way back. */
    protected final void toggleLink(int from, int to) {
        linkDown[from][to] = !linkDown[from][to];
    }

    /** Parts the processes in two, or one from all others. */
    protected final void partition(boolean[] side) {
        for (int a = 0; a < side.length; a++) {
            for (int b = 0; b < side.length; b++) {
                linkDown[a][b] |= side[a] != side[b];
            }
        }
    }

    /** All ways are open. */
    protected final void heal() {
        for (boolean[] row : linkDown) {
            Arrays.fill(row, false);
        }
    }

    /** Sends a message, which may come late, twice or never. */
    protected final void send(int from, int to, Object body) {
        if (linkDown[from][to] || !stopFaults && random.nextDouble() < lossRate) {
            return;
        }
        int copies = !stopFaults && random.nextInt(10) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long delay = !stopFaults && random.nextDouble() < longDelayRate
                    ? random.nextLong(2_500_000)
                    : random.nextLong(60_000);
            inFlight.add(new Message(now + delay, nextMessageNumber++, to, body));
        }
    }

    /** The processes there are. */
    protected final int processes() {
        return processes.size();
    }

    /** A process with a clock of its own. */
    public abstract class Process {
        /** Its number. */
        public final int number;

        private final double clockRate;
        private long clockOffset;
        private final List<Object> undelivered = new ArrayList<>();
        /** Until when it stands still. */
        public long pausedUntil;
        /** Until when it is down. */
        public long crashedUntil = -1;
        /** Whether it is down. */
        public boolean crashed;

        /** Another process of this world, whose clock may run so many millionths fast or slow. */
        protected Process(int driftPpm) {
            number = processes.size();
            processes.add(this);
            clockRate = 1 + (random.nextDouble() * 2 - 1) * driftPpm / 1e6 * 0.99;
            clockOffset = 1_000_000_000L + random.nextLong(1_000_000_000L);
            boolean[][] wider = new boolean[number + 1][number + 1];
            for (int i = 0; i < number; i++) {
                System.arraycopy(linkDown[i], 0, wider[i], 0, number);
            }
            linkDown = wider;
        }

        /** Its monotonic clock, in microseconds. */
        public final long clock() {
            return clockOffset + (long) (now * clockRate);
        }

        /** Ends it; it begins anew then. */
        public void crash(long until) {
            crashed = true;
            crashedUntil = until;
            undelivered.clear();
        }

        private void deliver(Object body) {
            if (crashed) {
                return;
            }
            if (now < pausedUntil) {
                undelivered.add(body);
            } else {
                handle(body);
            }
        }

        private boolean resumeIfDue() {
            if (crashed && now >= crashedUntil) {
                crashed = false;
                pausedUntil = 0;
                clockOffset += random.nextLong(800_000) - 700_000; // another process, another clock
                start();
            }
            if (crashed || now < pausedUntil) {
                return false;
            }
            List<Object> delayed = List.copyOf(undelivered);
            undelivered.clear();
            delayed.forEach(this::deliver);
            return !crashed;
        }

        /** Starts with nothing but what lasts. */
        protected abstract void start();

        /** A message has come. */
        protected abstract void handle(Object body);

        /** Time has passed. */
        protected abstract void step();
    }
}
