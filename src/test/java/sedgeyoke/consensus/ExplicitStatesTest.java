package sedgeyoke.consensus;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import sedgeyoke.lease.ClockDrift;

/**
 * Every state that three keepers can come to, breadth first, up to a number of them: any message delivered, one of them
 * twice, or never, any keeper standing for election, writes, rounds, a crash with and without the last force. It is
 * the keeper itself that runs; a state is reached again by its steps. Times are left out, so that states that differ in
 * them alone count once.
 */
class ExplicitStatesTest {
    private static final RaftTiming TIMING = new RaftTiming(600_000, 100_000, 1_500_000, new ClockDrift(0), 1_000);
    private static final int MOST_STATES = Integer.getInteger("sedgeyoke.consensus.states", 150_000);
    private static final long TERMS = 2;
    private static final int WRITES = 2;
    private static final int CRASHES = 1;
    private static final int STANDS = 3;
    private static final int ROUNDS = 2;
    private static final int DOUBLES = 1;
    private static final String[] NAMES = {"a", "b", "c"};

    /** A message under way, and how often it may still come. */
    private static final class Flying {
        final int from;
        final int to;
        final RaftMessage message;
        boolean came;

        Flying(int from, int to, RaftMessage message) {
            this.from = from;
            this.to = to;
            this.message = message;
        }

        @Override
        public String toString() {
            return from + ">" + to + message + (came ? " again" : "");
        }
    }

    /** Three keepers, what is on their disks and what is under way. */
    private static final class World {
        final Function<RaftTiming, SafetyRules> rules;
        final RaftNode[] keepers = new RaftNode[NAMES.length];
        final HardState[] slots = new HardState[NAMES.length];
        final List<List<LogEntry>> disks = new ArrayList<>();
        final long[] clocks = new long[NAMES.length];
        final long[] runs = {1, 2, 3};
        final List<Flying> net = new ArrayList<>();
        final Map<Long, String> leaders = new TreeMap<>();
        final Map<Long, LogEntry> committed = new TreeMap<>();
        final int[] left = {STANDS, WRITES, CRASHES, ROUNDS, DOUBLES};
        String breach;

        World(Function<RaftTiming, SafetyRules> rules) {
            this.rules = rules;
            for (int k = 0; k < NAMES.length; k++) {
                Map<String, HardState.KnownPeer> known = new HashMap<>();
                for (int o = 0; o < NAMES.length; o++) {
                    known.put(NAMES[o], new HardState.KnownPeer(1, o == k ? 0 : o + 1L));
                }
                slots[k] = new HardState(0, "", List.of(), known, true);
                disks.add(new ArrayList<>());
                clocks[k] = 10_000_000;
                start(k, runs[k]);
            }
            net.clear(); // they know each other
        }

        void start(int k, long run) {
            List<Member> members =
                    Arrays.stream(NAMES).map(n -> new Member(n, 1, n)).toList();
            keepers[k] = new RaftNode(
                    new RaftNode.Identity(NAMES[k], 1, run),
                    rules.apply(TIMING),
                    new RaftNode.StoredState(slots[k], null, List.copyOf(disks.get(k)), null, false),
                    Membership.of(members),
                    NoSnapshots.CODEC,
                    new SplittableRandom(1),
                    clocks[k]);
            int before = net.size();
            on(k, new Event.Tick(), true);
            RaftMessage.RecoveryQuery asked = (RaftMessage.RecoveryQuery) net.get(before).message;
            String other = NAMES[(k + 1) % NAMES.length];
            on(
                    k,
                    new Event.Received(
                            other,
                            1,
                            new RaftMessage.RecoveryReply(0, asked.queryId(), false, true, false, false, 0, 0)),
                    true);
        }

        /** {@code lasts} false: the process ends before what it wants to last is on disk. */
        void on(int k, Event event, boolean lasts) {
            try {
                List<Action> actions = keepers[k].handle(event, clocks[k]);
                for (Action a : actions) {
                    if (a instanceof Action.Send s) {
                        net.add(new Flying(k, Arrays.asList(NAMES).indexOf(s.to()), s.message()));
                    } else if (a instanceof Action.Persist p && lasts) {
                        keep(k, p);
                        on(k, new Event.Persisted(p.token()), true);
                    }
                }
            } catch (IllegalStateException e) {
                breach = NAMES[k] + ": " + e.getMessage();
            }
        }

        private void keep(int k, Action.Persist p) {
            if (p.hardState() != null) {
                slots[k] = p.hardState();
            }
            List<LogEntry> disk = disks.get(k);
            if (p.restartLogAfter() >= 0) {
                disk.clear();
            } else if (p.truncateAfter() >= 0) {
                disk.removeIf(e -> e.index() > p.truncateAfter());
            }
            disk.addAll(p.entries());
        }

        /** What may happen next: the kind and whom or what it happens to. */
        List<int[]> steps() {
            List<int[]> steps = new ArrayList<>();
            for (int i = 0; i < net.size(); i++) {
                if (!net.get(i).came || left[4] > 0) {
                    steps.add(new int[] {0, i});
                    if (left[2] > 0) {
                        steps.add(new int[] {1, i});
                    }
                }
            }
            for (int k = 0; k < NAMES.length; k++) {
                if (left[0] > 0 && keepers[k].term() < TERMS && keepers[k].role() != RaftNode.Role.LEADER) {
                    steps.add(new int[] {2, k});
                }
                if (left[2] > 0) {
                    steps.add(new int[] {3, k});
                }
                if (keepers[k].role() == RaftNode.Role.LEADER) {
                    if (left[1] > 0) {
                        steps.add(new int[] {4, k});
                    }
                    if (left[3] > 0) {
                        steps.add(new int[] {5, k});
                    }
                }
            }
            return steps;
        }

        void step(int[] step) {
            int what = step[1];
            switch (step[0]) {
                case 0, 1 -> {
                    Flying f = net.get(what);
                    left[4] -= f.came ? 1 : 0;
                    f.came = true;
                    on(f.to, new Event.Received(NAMES[f.from], 1, f.message), step[0] == 0);
                    if (step[0] == 1) {
                        crash(f.to);
                    }
                }
                case 2 -> {
                    left[0]--;
                    clocks[what] += 2 * TIMING.electionTimeoutMicros() + 1;
                    on(what, new Event.Tick(), true);
                    net.removeIf(f ->
                            f.message instanceof RaftMessage.RequestPreVote); // it changes nothing at whoever is asked
                    on(
                            what,
                            new Event.Received(
                                    NAMES[(what + 1) % NAMES.length],
                                    1,
                                    new RaftMessage.PreVoteResponse(keepers[what].term(), true, true)),
                            true);
                }
                case 3 -> crash(what);
                case 4 -> {
                    int write = left[1]--;
                    on(
                            what,
                            new Event.RequestReceived(
                                    write,
                                    new ClientRequest.Set(
                                            new Command.Write("w" + write, 0, "", "", 0, ConfigDocument.EMPTY))),
                            true);
                }
                default -> {
                    left[3]--;
                    clocks[what] += TIMING.heartbeatMicros();
                    on(what, new Event.Tick(), true);
                }
            }
            net.sort((x, y) -> x.toString().compareTo(y.toString()));
            check();
        }

        private void crash(int k) {
            left[2]--;
            clocks[k] += 1_000;
            start(k, runs[k] += 10);
        }

        private void check() {
            for (int k = 0; k < NAMES.length && breach == null; k++) {
                if (keepers[k].role() == RaftNode.Role.LEADER) {
                    String other = leaders.putIfAbsent(keepers[k].term(), NAMES[k]);
                    if (other != null && !other.equals(NAMES[k])) {
                        breach = other + " and " + NAMES[k] + " lead in term " + keepers[k].term();
                    }
                }
                for (long i = 1; i <= keepers[k].commitIndex(); i++) {
                    LogEntry before = committed.putIfAbsent(i, keepers[k].entry(i));
                    if (before != null && !before.equals(keepers[k].entry(i))) {
                        breach = "entry " + i + " was " + before + ", is " + keepers[k].entry(i);
                    }
                }
            }
        }

        long fingerprint() {
            StringBuilder text = new StringBuilder(1_024);
            for (int k = 0; k < NAMES.length; k++) {
                text.append(keepers[k].describe())
                        .append(slots[k].term())
                        .append(slots[k].votedFor())
                        .append(disks.get(k).size())
                        .append('|');
            }
            net.stream().filter(f -> !f.came || left[4] > 0).forEach(text::append);
            text.append(leaders).append(committed).append(Arrays.toString(left));
            long hash = 0xcbf29ce484222325L; // FNV-1a, 64 bits
            for (int i = 0; i < text.length(); i++) {
                hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
            }
            return hash;
        }
    }

    private static final class NoSnapshots implements SnapshotCodec {
        static final NoSnapshots CODEC = new NoSnapshots();

        @Override
        public byte[] encode(Snapshot state) {
            throw new AssertionError("too few entries for one");
        }

        @Override
        public Snapshot decode(byte[] bytes) {
            throw new AssertionError("nobody sends one");
        }
    }

    private static World replay(Function<RaftTiming, SafetyRules> rules, List<int[]> path) {
        World w = new World(rules);
        path.forEach(w::step);
        return w;
    }

    private record Found(long states, int depth, String breach) {}

    private static Found explore(Function<RaftTiming, SafetyRules> rules, int most) {
        Set<Long> seen = ConcurrentHashMap.newKeySet();
        Map<String, List<int[]>> breaches = new ConcurrentHashMap<>();
        List<List<int[]>> level = List.of(List.of());
        int depth = 0;
        for (; !level.isEmpty() && seen.size() < most && breaches.isEmpty(); depth++) {
            level = level.parallelStream()
                    .flatMap(path -> {
                        List<List<int[]>> next = new ArrayList<>();
                        for (int[] step : replay(rules, path).steps()) {
                            if (seen.size() >= most) {
                                break;
                            }
                            World w = replay(rules, path);
                            w.step(step);
                            List<int[]> longer = new ArrayList<>(path);
                            longer.add(step);
                            if (w.breach != null) {
                                breaches.put(w.breach, longer);
                            } else if (seen.add(w.fingerprint())) {
                                next.add(longer);
                            }
                        }
                        return next.stream();
                    })
                    .toList();
        }
        return new Found(
                seen.size(),
                depth,
                breaches.isEmpty() ? null : breaches.keySet().iterator().next());
    }

    @Test
    void noStateBreaksAnything() {
        long began = System.nanoTime();
        Found found = explore(SafetyRules::new, MOST_STATES);
        System.out.println("explicit: " + found.states() + " states, depth " + found.depth() + ", "
                + (System.nanoTime() - began) / 1_000_000 + " ms");
        assertNull(found.breach());
        assertTrue(found.states() >= Math.min(MOST_STATES, 10_000), "too few to show anything: " + found.states());
    }

    @Test
    void aPlantedMistakeIsFound() {
        Found found = explore(
                t -> new SafetyRules(t) {
                    @Override
                    boolean mayVoteFor(String candidate, String votedFor) {
                        return true;
                    }
                },
                MOST_STATES);
        System.out.println("explicit, two votes in a term: " + found);
        assertNotNull(found.breach());
    }
}
