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
    public static final long STEP = 10_000;

    /** By the seed; whoever needs chance takes it from here. */
    protected final SplittableRandom random;
    /** How bad things get, 0 to 1. */
    protected final double severity;

    private final PriorityQueue<Message> network =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.number, b.number));
    private final List<Process> processes = new ArrayList<>();
    private final double lossRate;
    private final double longDelayRate;
    private boolean[][] cut = new boolean[0][0];
    private long messages;
    private boolean calm;
    /** True time, in microseconds. */
    protected long now;
    /** What was broken, or null. */
    protected String breach;

    private record Message(long at, long number, int to, Object body) {}

    /** A world of a seed. */
    protected SeededNetwork(long seed) {
        random = new SplittableRandom(seed);
        severity = random.nextDouble();
        lossRate = severity * random.nextDouble() * 0.2;
        longDelayRate = severity * random.nextDouble() * 0.4;
    }

    /** Plays until then; what was broken, or null. */
    protected final String playUntil(long end) {
        while (now < end && breach == null) {
            now += STEP;
            if (!calm) {
                misfortune();
            }
            while (!network.isEmpty() && network.peek().at <= now) {
                Message m = network.poll();
                processes.get(m.to).take(m.body);
            }
            for (Process p : processes) {
                if (p.runs()) {
                    p.step();
                }
            }
            check();
        }
        return breach;
    }

    /** From now on nothing fails any more; what is down comes back. */
    protected final void calm() {
        calm = true;
        heal();
        processes.forEach(p -> {
            p.pausedUntil = Math.min(p.pausedUntil, now);
            p.deadUntil = Math.min(p.deadUntil, now);
        });
    }

    /** True with so many chances a second. */
    protected final boolean chance(double perSecond) {
        return random.nextDouble() < perSecond * STEP / 1e6;
    }

    /** What goes wrong in this step. */
    protected abstract void misfortune();

    /** Looks at everything after each step; sets {@link #breach}. */
    protected abstract void check();

    /** Cuts or opens the way from one process to another, and not the way back. */
    protected final void flip(int from, int to) {
        cut[from][to] = !cut[from][to];
    }

    /** Parts the processes in two, or one from all others. */
    protected final void split(boolean[] side) {
        for (int a = 0; a < side.length; a++) {
            for (int b = 0; b < side.length; b++) {
                cut[a][b] |= side[a] != side[b];
            }
        }
    }

    /** All ways are open. */
    protected final void heal() {
        for (boolean[] row : cut) {
            Arrays.fill(row, false);
        }
    }

    /** Sends a message, which may come late, twice or never. */
    protected final void send(int from, int to, Object body) {
        if (cut[from][to] || !calm && random.nextDouble() < lossRate) {
            return;
        }
        int copies = !calm && random.nextInt(10) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long delay =
                    !calm && random.nextDouble() < longDelayRate ? random.nextLong(2_500_000) : random.nextLong(60_000);
            network.add(new Message(now + delay, messages++, to, body));
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

        private final double rate;
        private long offset;
        private final List<Object> waiting = new ArrayList<>();
        /** Until when it stands still. */
        public long pausedUntil;
        /** Until when it is down. */
        public long deadUntil = -1;
        /** Whether it is down. */
        public boolean dead;

        /** Another process of this world, whose clock may run so many millionths fast or slow. */
        protected Process(int driftPpm) {
            number = processes.size();
            processes.add(this);
            rate = 1 + (random.nextDouble() * 2 - 1) * driftPpm / 1e6 * 0.99;
            offset = 1_000_000_000L + random.nextLong(1_000_000_000L);
            boolean[][] wider = new boolean[number + 1][number + 1];
            for (int i = 0; i < number; i++) {
                System.arraycopy(cut[i], 0, wider[i], 0, number);
            }
            cut = wider;
        }

        /** Its monotonic clock, in microseconds. */
        public final long clock() {
            return offset + (long) (now * rate);
        }

        /** Ends it; it begins anew then. */
        public void crash(long until) {
            dead = true;
            deadUntil = until;
            waiting.clear();
        }

        private void take(Object body) {
            if (dead) {
                return;
            }
            if (now < pausedUntil) {
                waiting.add(body);
            } else {
                handle(body);
            }
        }

        private boolean runs() {
            if (dead && now >= deadUntil) {
                dead = false;
                pausedUntil = 0;
                offset += random.nextLong(800_000) - 700_000; // another process, another clock
                begin();
            }
            if (dead || now < pausedUntil) {
                return false;
            }
            List<Object> late = List.copyOf(waiting);
            waiting.clear();
            late.forEach(this::take);
            return !dead;
        }

        /** Starts with nothing but what lasts. */
        protected abstract void begin();

        /** A message has come. */
        protected abstract void handle(Object body);

        /** Time has passed. */
        protected abstract void step();
    }
}
