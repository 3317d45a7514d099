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
    private static final int MAX_STATES = Integer.getInteger("sedgeyoke.consensus.states", 150_000);
    private static final long MAX_TERMS = 2;
    private static final int MAX_WRITES = 2;
    private static final int MAX_CRASHES = 1;
    private static final int MAX_ELECTIONS = 3;
    private static final int MAX_ROUNDS = 2;
    private static final int MAX_DUPLICATES = 1;
    private static final String[] NAMES = {"a", "b", "c"};

    /** A message under way, and how often it may still come. */
    private static final class InFlightMessage {
        final int from;
        final int to;
        final RaftMessage message;
        boolean delivered;

        InFlightMessage(int from, int to, RaftMessage message) {
            this.from = from;
            this.to = to;
            this.message = message;
        }

        @Override
        public String toString() {
            return from + ">" + to + message + (delivered ? " again" : "");
        }
    }

    /** Three keepers, what is on their disks and what is under way. */
    private static final class ClusterState {
        final Function<RaftTiming, SafetyRules> rules;
        final RaftNode[] nodes = new RaftNode[NAMES.length];
        final HardState[] hardStates = new HardState[NAMES.length];
        final List<List<LogEntry>> logs = new ArrayList<>();
        final long[] clocks = new long[NAMES.length];
        final long[] incarnations = {1, 2, 3};
        final List<InFlightMessage> messages = new ArrayList<>();
        final Map<Long, String> leaders = new TreeMap<>();
        final Map<Long, LogEntry> committed = new TreeMap<>();
        final int[] left = {MAX_ELECTIONS, MAX_WRITES, MAX_CRASHES, MAX_ROUNDS, MAX_DUPLICATES};
        String violation;

        ClusterState(Function<RaftTiming, SafetyRules> rules) {
            this.rules = rules;
            for (int node = 0; node < NAMES.length; node++) {
                Map<String, HardState.KnownPeer> knownPeers = new HashMap<>();
                for (int other = 0; other < NAMES.length; other++) {
                    knownPeers.put(NAMES[other], new HardState.KnownPeer(1, other == node ? 0 : other + 1L));
                }
                hardStates[node] = new HardState(0, "", List.of(), knownPeers, true);
                logs.add(new ArrayList<>());
                clocks[node] = 10_000_000;
                start(node, incarnations[node]);
            }
            messages.clear(); // they know each other
        }

        void start(int node, long incarnation) {
            List<Member> members =
                    Arrays.stream(NAMES).map(n -> new Member(n, 1, n)).toList();
            nodes[node] = new RaftNode(
                    new RaftNode.Identity(NAMES[node], 1, incarnation),
                    rules.apply(TIMING),
                    new RaftNode.StoredState(hardStates[node], null, List.copyOf(logs.get(node)), null, false),
                    Membership.of(members),
                    NoSnapshotCodec.CODEC,
                    new SplittableRandom(1),
                    clocks[node]);
            int sentBefore = messages.size();
            handle(node, new Event.Tick(), true);
            RaftMessage.RecoveryQuery query = (RaftMessage.RecoveryQuery) messages.get(sentBefore).message;
            String other = NAMES[(node + 1) % NAMES.length];
            handle(
                    node,
                    new Event.Received(
                            other,
                            1,
                            new RaftMessage.RecoveryReply(0, query.queryId(), false, true, false, false, 0, 0)),
                    true);
        }

        /** {@code persisted} false: the process ends before what it wants to last is on disk. */
        void handle(int node, Event event, boolean persisted) {
            try {
                List<Action> actions = nodes[node].handle(event, clocks[node]);
                for (Action action : actions) {
                    if (action instanceof Action.Send send) {
                        messages.add(
                                new InFlightMessage(node, Arrays.asList(NAMES).indexOf(send.to()), send.message()));
                    } else if (action instanceof Action.Persist persist && persisted) {
                        persist(node, persist);
                        handle(node, new Event.Persisted(persist.token()), true);
                    }
                }
            } catch (IllegalStateException exception) {
                violation = NAMES[node] + ": " + exception.getMessage();
            }
        }

        private void persist(int node, Action.Persist persist) {
            if (persist.hardState() != null) {
                hardStates[node] = persist.hardState();
            }
            List<LogEntry> log = logs.get(node);
            if (persist.restartLogAfter() >= 0) {
                log.clear();
            } else if (persist.truncateAfter() >= 0) {
                log.removeIf(e -> e.index() > persist.truncateAfter());
            }
            log.addAll(persist.entries());
        }

        /** What may happen next: the kind and whom or what it happens to. */
        List<int[]> enabledSteps() {
            List<int[]> steps = new ArrayList<>();
            for (int i = 0; i < messages.size(); i++) {
                if (!messages.get(i).delivered || left[4] > 0) {
                    steps.add(new int[] {0, i});
                    if (left[2] > 0) {
                        steps.add(new int[] {1, i});
                    }
                }
            }
            for (int node = 0; node < NAMES.length; node++) {
                if (left[0] > 0 && nodes[node].term() < MAX_TERMS && nodes[node].role() != RaftNode.Role.LEADER) {
                    steps.add(new int[] {2, node});
                }
                if (left[2] > 0) {
                    steps.add(new int[] {3, node});
                }
                if (nodes[node].role() == RaftNode.Role.LEADER) {
                    if (left[1] > 0) {
                        steps.add(new int[] {4, node});
                    }
                    if (left[3] > 0) {
                        steps.add(new int[] {5, node});
                    }
                }
            }
            return steps;
        }

        void apply(int[] step) {
            int what = step[1];
            switch (step[0]) {
                case 0, 1 -> {
                    InFlightMessage message = messages.get(what);
                    left[4] -= message.delivered ? 1 : 0;
                    message.delivered = true;
                    handle(message.to, new Event.Received(NAMES[message.from], 1, message.message), step[0] == 0);
                    if (step[0] == 1) {
                        crash(message.to);
                    }
                }
                case 2 -> {
                    left[0]--;
                    clocks[what] += 2 * TIMING.electionTimeoutMicros() + 1;
                    handle(what, new Event.Tick(), true);
                    messages.removeIf(message -> message.message
                            instanceof RaftMessage.RequestPreVote); // it changes nothing at whoever is asked
                    handle(
                            what,
                            new Event.Received(
                                    NAMES[(what + 1) % NAMES.length],
                                    1,
                                    new RaftMessage.PreVoteResponse(nodes[what].term(), true, true)),
                            true);
                }
                case 3 -> crash(what);
                case 4 -> {
                    int write = left[1]--;
                    handle(
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
                    handle(what, new Event.Tick(), true);
                }
            }
            messages.sort((x, y) -> x.toString().compareTo(y.toString()));
            check();
        }

        private void crash(int node) {
            left[2]--;
            clocks[node] += 1_000;
            start(node, incarnations[node] += 10);
        }

        private void check() {
            for (int node = 0; node < NAMES.length && violation == null; node++) {
                if (nodes[node].role() == RaftNode.Role.LEADER) {
                    String other = leaders.putIfAbsent(nodes[node].term(), NAMES[node]);
                    if (other != null && !other.equals(NAMES[node])) {
                        violation = other + " and " + NAMES[node] + " lead in term " + nodes[node].term();
                    }
                }
                for (long index = 1; index <= nodes[node].commitIndex(); index++) {
                    LogEntry before = committed.putIfAbsent(index, nodes[node].entry(index));
                    if (before != null && !before.equals(nodes[node].entry(index))) {
                        violation = "entry " + index + " was " + before + ", is " + nodes[node].entry(index);
                    }
                }
            }
        }

        long fingerprint() {
            StringBuilder text = new StringBuilder(1_024);
            for (int node = 0; node < NAMES.length; node++) {
                text.append(nodes[node].describe())
                        .append(hardStates[node].term())
                        .append(hardStates[node].votedFor())
                        .append(logs.get(node).size())
                        .append('|');
            }
            messages.stream().filter(f -> !f.delivered || left[4] > 0).forEach(text::append);
            text.append(leaders).append(committed).append(Arrays.toString(left));
            long hash = 0xcbf29ce484222325L; // FNV-1a, 64 bits
            for (int i = 0; i < text.length(); i++) {
                hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
            }
            return hash;
        }
    }

    private static final class NoSnapshotCodec implements SnapshotCodec {
        static final NoSnapshotCodec CODEC = new NoSnapshotCodec();

        @Override
        public byte[] encode(Snapshot state) {
            throw new AssertionError("too few entries for one");
        }

        @Override
        public Snapshot decode(byte[] bytes) {
            throw new AssertionError("nobody sends one");
        }
    }

    private static ClusterState replay(Function<RaftTiming, SafetyRules> rules, List<int[]> path) {
        ClusterState state = new ClusterState(rules);
        path.forEach(state::apply);
        return state;
    }

    private record SearchResult(long states, int depth, String violation) {}

    private static SearchResult explore(Function<RaftTiming, SafetyRules> rules, int maxStates) {
        Set<Long> seen = ConcurrentHashMap.newKeySet();
        Map<String, List<int[]>> violations = new ConcurrentHashMap<>();
        List<List<int[]>> level = List.of(List.of());
        int depth = 0;
        for (; !level.isEmpty() && seen.size() < maxStates && violations.isEmpty(); depth++) {
            level = level.parallelStream()
                    .flatMap(path -> {
                        List<List<int[]>> next = new ArrayList<>();
                        for (int[] step : replay(rules, path).enabledSteps()) {
                            if (seen.size() >= maxStates) {
                                break;
                            }
                            ClusterState state = replay(rules, path);
                            state.apply(step);
                            List<int[]> longer = new ArrayList<>(path);
                            longer.add(step);
                            if (state.violation != null) {
                                violations.put(state.violation, longer);
                            } else if (seen.add(state.fingerprint())) {
                                next.add(longer);
                            }
                        }
                        return next.stream();
                    })
                    .toList();
        }
        return new SearchResult(
                seen.size(),
                depth,
                violations.isEmpty() ? null : violations.keySet().iterator().next());
    }

    @Test
    void everyReachableStateIsSafe() {
        long startedAt = System.nanoTime();
        SearchResult result = explore(SafetyRules::new, MAX_STATES);
        System.out.println("explicit: " + result.states() + " states, depth " + result.depth() + ", "
                + (System.nanoTime() - startedAt) / 1_000_000 + " ms");
        assertNull(result.violation());
        assertTrue(result.states() >= Math.min(MAX_STATES, 10_000), "too few to show anything: " + result.states());
    }

    @Test
    void faultyRuleIsDetected() {
        SearchResult result = explore(
                t -> new SafetyRules(t) {
                    @Override
                    boolean mayVoteFor(String candidate, String votedFor) {
                        return true;
                    }
                },
                MAX_STATES);
        System.out.println("explicit, two votes in a term: " + result);
        assertNotNull(result.violation());
    }
}
