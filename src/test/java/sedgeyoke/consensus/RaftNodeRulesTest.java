package sedgeyoke.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import sedgeyoke.lease.ClockDrift;

/**
 * Scenarios for rules whose faults are too rare to be detected by seeds: each holds with the rule as it is, and fails
 * with a faulty rule in its place.
 */
class RaftNodeRulesTest {
    private static final RaftTiming TIMING = new RaftTiming(600_000, 100_000, 1_500_000, new ClockDrift(1_000), 1_000);
    private static final long STORAGE_ID = 7;

    /** One replica of three; its messages are recorded, and its writes to disk are done at once. */
    private static final class SingleReplica {
        final RaftNode node;
        final List<Action> actions = new ArrayList<>();
        long now = 10_000_000;

        SingleReplica(Function<RaftTiming, SafetyRules> rules, String suspectedLoss, long term, long... entryTerms) {
            List<LogEntry> entries = new ArrayList<>();
            for (int i = 0; i < entryTerms.length; i++) {
                entries.add(new LogEntry(i + 1, entryTerms[i], new Command.NoOp()));
            }
            HardState hardState = new HardState(
                    term,
                    "",
                    List.of(4L),
                    new HashMap<>(Map.of(
                            "b",
                            new HardState.KnownPeer(STORAGE_ID, 5L),
                            "c",
                            new HardState.KnownPeer(STORAGE_ID, 6L))),
                    suspectedLoss == null);
            node = new RaftNode(
                    new RaftNode.Identity("a", STORAGE_ID, 9),
                    rules.apply(TIMING),
                    new RaftNode.StoredState(hardState, null, entries, suspectedLoss, suspectedLoss != null),
                    Membership.of(List.of(
                            new Member("a", STORAGE_ID, "a"),
                            new Member("b", STORAGE_ID, "b"),
                            new Member("c", STORAGE_ID, "c"))),
                    new NoSnapshotCodec(),
                    new SplittableRandom(1),
                    now);
        }

        void handle(Event event) {
            List<Action> produced = node.handle(event, now);
            actions.addAll(produced);
            for (Action action : produced) {
                if (action instanceof Action.Persist persist) {
                    handle(new Event.Persisted(persist.token()));
                }
            }
        }

        void receive(String from, RaftMessage message) {
            handle(new Event.Received(from, STORAGE_ID, message));
        }

        void advanceTime(long micros) {
            now += micros;
            handle(new Event.Tick());
        }

        /** The id of the latest recovery query that was sent. */
        long latestQueryId() {
            handle(new Event.Tick());
            return sent(RaftMessage.RecoveryQuery.class).stream()
                    .mapToLong(RaftMessage.RecoveryQuery::queryId)
                    .reduce((x, y) -> y)
                    .orElseThrow();
        }

        /** Receives a reply to the query {@code queryId} from a recovered replica that does not contradict this one. */
        void receiveReply(String from, long term, long queryId, boolean isLeader, long lastIndex) {
            receive(from, new RaftMessage.RecoveryReply(term, queryId, false, true, false, isLeader, lastIndex, 0));
        }

        /** Receives a heartbeat of term {@code term} that follows entry 1 of term 1. */
        void receiveHeartbeat(String from, long term, long round) {
            receive(from, new RaftMessage.AppendEntries(term, 1, 1, List.of(), 0, round));
        }

        boolean hasGrantedVote() {
            return sent(RaftMessage.VoteResponse.class).stream().anyMatch(RaftMessage.VoteResponse::granted);
        }

        void completeRecovery() {
            receiveReply("b", node.term(), latestQueryId(), false, 0);
            assertTrue(node.isRecovered());
        }

        void becomeLeader() {
            completeRecovery();
            advanceTime(2 * TIMING.electionTimeoutMicros());
            receive("b", new RaftMessage.PreVoteResponse(node.term(), true, true));
            receive("b", new RaftMessage.VoteResponse(node.term(), true, true));
            assertEquals(RaftNode.Role.LEADER, node.role());
        }

        void receiveAcknowledgement(String from, boolean recovered) {
            long incarnation = from.equals("b") ? 5 : 6;
            receive(
                    from,
                    new RaftMessage.AppendEntriesResponse(
                            node.term(), true, node.lastIndex(), 100, incarnation, recovered));
        }

        <T extends RaftMessage> List<T> sent(Class<T> type) {
            return actions.stream()
                    .filter(Action.Send.class::isInstance)
                    .map(a -> ((Action.Send) a).message())
                    .filter(type::isInstance)
                    .map(type::cast)
                    .toList();
        }

        List<RequestResult> results() {
            return actions.stream()
                    .filter(Action.Respond.class::isInstance)
                    .map(a -> ((Action.Respond) a).result())
                    .toList();
        }
    }

    private static final class NoSnapshotCodec implements SnapshotCodec {
        @Override
        public byte[] encode(Snapshot state) {
            throw new AssertionError("no snapshot is sent");
        }

        @Override
        public Snapshot decode(byte[] bytes) {
            throw new AssertionError("no snapshot is received");
        }
    }

    /** Whether a scenario holds with given rules, and rules with which it must not. */
    private record Scenario(
            Predicate<Function<RaftTiming, SafetyRules>> holdsWith, Function<RaftTiming, SafetyRules> faultyRules) {}

    private static boolean rejectsLongerLogOfOlderTerm(Function<RaftTiming, SafetyRules> rules) {
        SingleReplica replica = new SingleReplica(rules, null, 2, 1, 2);
        replica.completeRecovery();
        replica.receive("c", new RaftMessage.RequestVote(3, 5, 1, false));
        return !replica.sent(RaftMessage.VoteResponse.class).get(0).granted();
    }

    private static boolean changesOneMemberAtATime(Function<RaftTiming, SafetyRules> rules) {
        SingleReplica replica = new SingleReplica(rules, null, 1, 1);
        replica.becomeLeader();
        replica.receiveAcknowledgement("b", true);
        replica.handle(new Event.RequestReceived(1, new ClientRequest.AddMember(new Member("d", 8, "d"))));
        replica.handle(new Event.RequestReceived(2, new ClientRequest.RemoveMember("c", 0)));
        return replica.results().stream().anyMatch(result -> result.kind() == RequestResult.Kind.REFUSED);
    }

    private static boolean countsOnlyRecoveredReplicas(Function<RaftTiming, SafetyRules> rules) {
        SingleReplica replica = new SingleReplica(rules, null, 1, 1);
        replica.becomeLeader();
        replica.receiveAcknowledgement("b", false);
        return replica.node.commitIndex() == 0;
    }

    private static boolean recoveryWaitsForLeaderLog(Function<RaftTiming, SafetyRules> rules) {
        SingleReplica replica = new SingleReplica(rules, "a segment is missing", 1, 1);
        replica.advanceTime(4 * TIMING.electionTimeoutMicros());
        replica.receiveHeartbeat("b", 2, 1);
        for (int i = 0; i < 2; i++) { // the second reply is to a query that was sent after the leader was known
            long queryId = replica.latestQueryId();
            replica.receiveReply("b", 2, queryId, true, 9);
            replica.receiveReply("c", 2, queryId, false, 9);
            replica.receiveHeartbeat("b", 2, 2);
        }
        return !replica.node.isRecovered();
    }

    private static boolean remembersIncarnations(Function<RaftTiming, SafetyRules> rules) {
        SingleReplica replica = new SingleReplica(rules, null, 1, 1);
        replica.completeRecovery();
        replica.receive("c", new RaftMessage.RecoveryQuery(1, List.of(99L, 3L), 1));
        return replica.sent(RaftMessage.RecoveryReply.class).get(0).outdated();
    }

    private static boolean checksStorageIds(Function<RaftTiming, SafetyRules> rules) {
        SingleReplica replica = new SingleReplica(rules, null, 1, 1);
        replica.completeRecovery();
        replica.handle(new Event.Received("c", STORAGE_ID + 1, new RaftMessage.RequestVote(2, 5, 1, false)));
        return replica.sent(RaftMessage.VoteResponse.class).isEmpty();
    }

    private static boolean commitsOnlyOwnTermByCounting(Function<RaftTiming, SafetyRules> rules) {
        SingleReplica replica = new SingleReplica(rules, null, 3, 1, 2);
        replica.becomeLeader();
        long incarnation = 5;
        replica.receive(
                "b",
                new RaftMessage.AppendEntriesResponse(
                        replica.node.term(), true, 2, 1, incarnation, true)); // not yet an entry of its own term
        return replica.node.commitIndex() == 0;
    }

    private static boolean ignoresEarlierIncarnation(Function<RaftTiming, SafetyRules> rules) {
        SingleReplica replica = new SingleReplica(rules, null, 1, 1);
        replica.becomeLeader();
        replica.receive("b", new RaftMessage.RecoveryQuery(replica.node.term(), List.of(50L, 5L), 1));
        replica.receiveAcknowledgement("b", true); // from the earlier incarnation
        return replica.node.commitIndex() == 0;
    }

    private static boolean ignoresLateVotes(Function<RaftTiming, SafetyRules> rules) {
        SingleReplica replica = new SingleReplica(rules, null, 1, 1);
        replica.completeRecovery();
        replica.advanceTime(2 * TIMING.electionTimeoutMicros());
        replica.receive("b", new RaftMessage.PreVoteResponse(replica.node.term(), true, true));
        replica.now += TIMING.electionTimeoutMicros() + 1;
        replica.receive("b", new RaftMessage.VoteResponse(replica.node.term(), true, true));
        return replica.node.role() != RaftNode.Role.LEADER;
    }

    private static boolean grantsNoSecondVoteAfterRecovery(Function<RaftTiming, SafetyRules> rules) {
        SingleReplica replica = new SingleReplica(rules, "a segment is missing", 1, 1);
        replica.advanceTime(4 * TIMING.electionTimeoutMicros());
        long queryId = replica.latestQueryId();
        replica.receiveReply("b", 2, queryId, true, 1);
        replica.receiveReply("c", 2, queryId, false, 1);
        replica.receiveHeartbeat("b", 2, 1);
        replica.receiveReply("b", 2, replica.latestQueryId(), true, 1);
        assertTrue(replica.node.isRecovered(), "its log matches the leader's");
        replica.advanceTime(2 * TIMING.electionTimeoutMicros());
        replica.receive("c", new RaftMessage.RequestVote(2, 9, 9, false));
        return !replica.hasGrantedVote();
    }

    static Stream<Arguments> scenarios() {
        Map<String, Scenario> scenarios = new LinkedHashMap<>();
        scenarios.put(
                "logs are compared by length alone",
                new Scenario(RaftNodeRulesTest::rejectsLongerLogOfOlderTerm, timing -> new SafetyRules(timing) {
                    @Override
                    boolean isLogUpToDate(long lastIndex, long lastTerm, long ownIndex, long ownTerm) {
                        return lastIndex >= ownIndex;
                    }
                }));
        scenarios.put(
                "two members change at a time",
                new Scenario(RaftNodeRulesTest::changesOneMemberAtATime, timing -> new SafetyRules(timing) {
                    @Override
                    boolean mayChangeMembership(Membership inLog, Membership committed) {
                        return true;
                    }
                }));
        scenarios.put(
                "a replica that may have lost data counts towards a quorum",
                new Scenario(RaftNodeRulesTest::countsOnlyRecoveredReplicas, timing -> new SafetyRules(timing) {
                    @Override
                    boolean countsTowardsQuorum(boolean recovered) {
                        return true;
                    }
                }));
        scenarios.put(
                "recovery does not wait for the leader's log",
                new Scenario(RaftNodeRulesTest::recoveryWaitsForLeaderLog, timing -> new SafetyRules(timing) {
                    @Override
                    long recoveryTarget(long leaderLastIndex) {
                        return 0;
                    }
                }));
        scenarios.put(
                "an old copy of a disk is not recognized",
                new Scenario(RaftNodeRulesTest::remembersIncarnations, timing -> new SafetyRules(timing) {
                    @Override
                    boolean isOutdatedReplica(
                            long knownIncarnation, List<Long> incarnations, long lastSeenTerm, long term) {
                        return false;
                    }
                }));
        scenarios.put(
                "a replaced disk is taken for the former one",
                new Scenario(RaftNodeRulesTest::checksStorageIds, timing -> new SafetyRules(timing) {
                    @Override
                    boolean isSameStorage(long knownStorageId, long claimedStorageId) {
                        return true;
                    }
                }));
        addMoreScenarios(scenarios);
        return scenarios.entrySet().stream()
                .map(scenario -> Arguments.of(
                        scenario.getKey(),
                        scenario.getValue().holdsWith(),
                        scenario.getValue().faultyRules()));
    }

    private static void addMoreScenarios(Map<String, Scenario> scenarios) {
        scenarios.put(
                "entries of earlier terms are committed by counting",
                new Scenario(RaftNodeRulesTest::commitsOnlyOwnTermByCounting, timing -> new SafetyRules(timing) {
                    @Override
                    boolean mayCommitEntry(long entryTerm, long term) {
                        return true;
                    }
                }));
        scenarios.put(
                "acknowledgements of an earlier incarnation count",
                new Scenario(RaftNodeRulesTest::ignoresEarlierIncarnation, timing -> new SafetyRules(timing) {
                    @Override
                    boolean isSameIncarnation(long knownIncarnation, long claimedIncarnation) {
                        return true;
                    }
                }));
        scenarios.put(
                "votes never expire",
                new Scenario(RaftNodeRulesTest::ignoresLateVotes, timing -> new SafetyRules(timing) {
                    @Override
                    boolean votesAreValid(long now, long electionStartedAt) {
                        return true;
                    }
                }));
        scenarios.put(
                "a vote that may be lost is taken for none",
                new Scenario(RaftNodeRulesTest::grantsNoSecondVoteAfterRecovery, timing -> new SafetyRules(timing) {
                    @Override
                    String voteAfterRecovery() {
                        return "";
                    }
                }));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("scenarios")
    void ruleHoldsAndFaultyRuleIsDetected(
            String rule,
            Predicate<Function<RaftTiming, SafetyRules>> holdsWith,
            Function<RaftTiming, SafetyRules> faultyRules) {
        assertTrue(holdsWith.test(SafetyRules::new), "holds with the rules as they are");
        assertFalse(holdsWith.test(faultyRules), "fails with the faulty rule");
    }

    /** Also if no replica knows a higher term: the lost data may be the vote in that term. */
    @Test
    void voteInOwnHighestTermIsUnknownAfterRecovery() {
        SingleReplica replica = new SingleReplica(SafetyRules::new, "a segment is missing", 5, 1);
        replica.advanceTime(4 * TIMING.electionTimeoutMicros());
        long queryId = replica.latestQueryId();
        replica.receiveReply("b", 2, queryId, false, 1);
        replica.receiveReply("c", 2, queryId, false, 1);
        replica.receiveHeartbeat("b", 5, 1);
        replica.receiveReply("b", 5, replica.latestQueryId(), true, 1);
        assertTrue(replica.node.isRecovered(), "its log matches the leader's");
        replica.advanceTime(2 * TIMING.electionTimeoutMicros());
        replica.receive("c", new RaftMessage.RequestVote(5, 9, 9, false));
        assertFalse(replica.hasGrantedVote());
    }
}
