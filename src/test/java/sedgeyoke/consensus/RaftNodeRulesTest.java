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
 * Histories written for rules whose breach is too rare for seeds: each holds with the rule as it is, and fails with a
 * mistake in its place.
 */
class RaftNodeRulesTest {
    private static final RaftTiming TIMING = new RaftTiming(600_000, 100_000, 1_500_000, new ClockDrift(1_000), 1_000);
    private static final long STORAGE_ID = 7;

    /** One keeper of three, whose messages go nowhere and whose disk is quick. */
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

        /** The number under which it asked what others know. */
        long latestQueryId() {
            handle(new Event.Tick());
            return sent(RaftMessage.RecoveryQuery.class).stream()
                    .mapToLong(RaftMessage.RecoveryQuery::queryId)
                    .reduce((x, y) -> y)
                    .orElseThrow();
        }

        void completeRecovery() {
            receive("b", new RaftMessage.RecoveryReply(node.term(), latestQueryId(), false, true, false, false, 0, 0));
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
            throw new AssertionError("no snapshot comes");
        }
    }

    /** A history and whether the rule is kept in it. */
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
        return replica.results().stream().anyMatch(o -> o.kind() == RequestResult.Kind.REFUSED);
    }

    private static boolean countsOnlyRecoveredReplicas(Function<RaftTiming, SafetyRules> rules) {
        SingleReplica replica = new SingleReplica(rules, null, 1, 1);
        replica.becomeLeader();
        replica.receiveAcknowledgement("b", false);
        return replica.node.commitIndex() == 0;
    }

    private static boolean recoveryWaitsForLeaderLog(Function<RaftTiming, SafetyRules> rules) {
        SingleReplica replica = new SingleReplica(rules, "a part is gone", 1, 1);
        replica.advanceTime(4 * TIMING.electionTimeoutMicros());
        replica.receive("b", new RaftMessage.AppendEntries(2, 1, 1, List.of(), 0, 1));
        for (int i = 0; i < 2; i++) { // the second answer is to what was asked after the leader was known
            long queryId = replica.latestQueryId();
            replica.receive("b", new RaftMessage.RecoveryReply(2, queryId, false, true, false, true, 9, 0));
            replica.receive("c", new RaftMessage.RecoveryReply(2, queryId, false, true, false, false, 9, 0));
            replica.receive("b", new RaftMessage.AppendEntries(2, 1, 1, List.of(), 0, 2));
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
                        replica.node.term(), true, 2, 1, incarnation, true)); // not yet its own entry
        return replica.node.commitIndex() == 0;
    }

    private static boolean ignoresEarlierIncarnation(Function<RaftTiming, SafetyRules> rules) {
        SingleReplica replica = new SingleReplica(rules, null, 1, 1);
        replica.becomeLeader();
        replica.receive("b", new RaftMessage.RecoveryQuery(replica.node.term(), List.of(50L, 5L), 1));
        replica.receiveAcknowledgement("b", true); // from the run before
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
        SingleReplica replica = new SingleReplica(rules, "a part is gone", 1, 1);
        replica.advanceTime(4 * TIMING.electionTimeoutMicros());
        long queryId = replica.latestQueryId();
        replica.receive("b", new RaftMessage.RecoveryReply(2, queryId, false, true, false, true, 1, 0));
        replica.receive("c", new RaftMessage.RecoveryReply(2, queryId, false, true, false, false, 1, 0));
        replica.receive("b", new RaftMessage.AppendEntries(2, 1, 1, List.of(), 0, 1));
        replica.receive("b", new RaftMessage.RecoveryReply(2, replica.latestQueryId(), false, true, false, true, 1, 0));
        assertTrue(replica.node.isRecovered(), "it has all");
        replica.advanceTime(2 * TIMING.electionTimeoutMicros());
        replica.receive("c", new RaftMessage.RequestVote(2, 9, 9, false));
        return replica.sent(RaftMessage.VoteResponse.class).stream().noneMatch(RaftMessage.VoteResponse::granted);
    }

    static Stream<Arguments> scenarios() {
        Map<String, Scenario> scenarios = new LinkedHashMap<>();
        scenarios.put(
                "logs are compared by length alone",
                new Scenario(RaftNodeRulesTest::rejectsLongerLogOfOlderTerm, t -> new SafetyRules(t) {
                    @Override
                    boolean isLogUpToDate(long lastIndex, long lastTerm, long ownIndex, long ownTerm) {
                        return lastIndex >= ownIndex;
                    }
                }));
        scenarios.put(
                "two keepers change at a time",
                new Scenario(RaftNodeRulesTest::changesOneMemberAtATime, t -> new SafetyRules(t) {
                    @Override
                    boolean mayChangeMembership(Membership inLog, Membership committed) {
                        return true;
                    }
                }));
        scenarios.put(
                "whoever may have lost something counts",
                new Scenario(RaftNodeRulesTest::countsOnlyRecoveredReplicas, t -> new SafetyRules(t) {
                    @Override
                    boolean countsTowardsQuorum(boolean sound) {
                        return true;
                    }
                }));
        scenarios.put(
                "in doubt, any log will do",
                new Scenario(RaftNodeRulesTest::recoveryWaitsForLeaderLog, t -> new SafetyRules(t) {
                    @Override
                    long recoveryTarget(long leadersLast) {
                        return 0;
                    }
                }));
        scenarios.put(
                "nobody remembers what a keeper has said",
                new Scenario(RaftNodeRulesTest::remembersIncarnations, t -> new SafetyRules(t) {
                    @Override
                    boolean isOutdatedReplica(long knownRun, List<Long> runs, long heardTerm, long term) {
                        return false;
                    }
                }));
        scenarios.put(
                "another folder is taken for the one before",
                new Scenario(RaftNodeRulesTest::checksStorageIds, t -> new SafetyRules(t) {
                    @Override
                    boolean isSameStorage(long known, long said) {
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
                new Scenario(RaftNodeRulesTest::commitsOnlyOwnTermByCounting, t -> new SafetyRules(t) {
                    @Override
                    boolean mayCommitEntry(long entryTerm, long term) {
                        return true;
                    }
                }));
        scenarios.put(
                "what a run before has acknowledged counts",
                new Scenario(RaftNodeRulesTest::ignoresEarlierIncarnation, t -> new SafetyRules(t) {
                    @Override
                    boolean isSameIncarnation(long known, long said) {
                        return true;
                    }
                }));
        scenarios.put(
                "votes count for ever", new Scenario(RaftNodeRulesTest::ignoresLateVotes, t -> new SafetyRules(t) {
                    @Override
                    boolean votesAreValid(long now, long stoodAt) {
                        return true;
                    }
                }));
        scenarios.put(
                "a vote that may be lost was none",
                new Scenario(RaftNodeRulesTest::grantsNoSecondVoteAfterRecovery, t -> new SafetyRules(t) {
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
        assertTrue(holdsWith.test(SafetyRules::new), "kept");
        assertFalse(holdsWith.test(faultyRules), "found");
    }

    /** Also where its own term is the highest of all: what it did in that term may be what was lost. */
    @Test
    void voteInOwnHighestTermIsUnknownAfterRecovery() {
        SingleReplica replica = new SingleReplica(SafetyRules::new, "a part is gone", 5, 1);
        replica.advanceTime(4 * TIMING.electionTimeoutMicros());
        long queryId = replica.latestQueryId();
        replica.receive("b", new RaftMessage.RecoveryReply(2, queryId, false, true, false, false, 1, 0));
        replica.receive("c", new RaftMessage.RecoveryReply(2, queryId, false, true, false, false, 1, 0));
        replica.receive("b", new RaftMessage.AppendEntries(5, 1, 1, List.of(), 0, 1));
        replica.receive("b", new RaftMessage.RecoveryReply(5, replica.latestQueryId(), false, true, false, true, 1, 0));
        assertTrue(replica.node.isRecovered(), "it has all");
        replica.advanceTime(2 * TIMING.electionTimeoutMicros());
        replica.receive("c", new RaftMessage.RequestVote(5, 9, 9, false));
        assertTrue(replica.sent(RaftMessage.VoteResponse.class).stream().noneMatch(RaftMessage.VoteResponse::granted));
    }

    /** A balancer that is started again and again leaves nothing behind that others would be refused for. */
    @Test
    void expiredLeasesMakeRoomForNewHolders() {
        LeaseTable leases = new LeaseTable(new SafetyRules(TIMING), 0);
        long now = 0;
        for (long incarnation = 0; incarnation < 3 * LeaseTable.MAX_HOLDERS; incarnation++) {
            now += TIMING.leaseMicros() / 100;
            assertTrue(leases.grant(new LeaseRequest("b", incarnation, 0, 0, 1), now, ConfigVersion.NONE, null)
                    .granted());
        }
        assertTrue(leases.holderCount(now) <= 102, "hold one: " + leases.holderCount(now));
        for (long incarnation = 0; incarnation < LeaseTable.MAX_HOLDERS; incarnation++) {
            leases.grant(new LeaseRequest("c", incarnation, 0, 0, 1), now, ConfigVersion.NONE, null);
        }
        assertFalse(
                leases.grant(new LeaseRequest("d", 1, 0, 0, 1), now, ConfigVersion.NONE, null)
                        .granted(),
                "there is a bound");
    }

    /** A floor that was agreed once may only get looser: a balancer that is alone goes by the old one. */
    @Test
    void floorsMayOnlyBeLoosened() {
        ConfigDocument before =
                ConfigDocument.EMPTY.with(ConfigSchema.RETRY_RATIO_FLOOR, 0.1).with(ConfigSchema.BALANCERS_FLOOR, 50);
        assertEquals(
                List.of(),
                ConfigValidator.violations(
                        before,
                        before.with(ConfigSchema.RETRY_RATIO_FLOOR, 0.2).with(ConfigSchema.BALANCERS_FLOOR, 40)));
        assertEquals(
                1,
                ConfigValidator.violations(before, before.with(ConfigSchema.RETRY_RATIO_FLOOR, 0.05))
                        .size());
        assertEquals(
                1,
                ConfigValidator.violations(before, before.with(ConfigSchema.BALANCERS_FLOOR, 60))
                        .size());
    }

    @Test
    void violationsNameTheirKey() {
        ConfigDocument bad = new ConfigDocument(
                Map.of("retries", 2.0, "nonesuch", 1.0),
                Map.of("upstreams_out", Map.of("x", 1.0)),
                Map.of("zones_out", Map.of("", "note")));
        List<String> faults = ConfigValidator.violations(ConfigDocument.EMPTY, bad);
        assertTrue(faults.stream().anyMatch(f -> f.startsWith("retries: 2.0")), faults.toString());
        assertTrue(faults.stream().anyMatch(f -> f.startsWith("nonesuch: no such key")), faults.toString());
        assertTrue(faults.stream().anyMatch(f -> f.startsWith("upstreams_out: ")), faults.toString());
        assertTrue(faults.stream().anyMatch(f -> f.startsWith("zones_out.")), faults.toString());
    }

    /** The meet breaks neither version, whichever fields they have. */
    @Test
    void mergedDocumentContradictsNeitherVersion() {
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 2_000; i++) {
            ConfigDocument first = randomDocument(random);
            ConfigDocument second = randomDocument(random);
            assertEquals(List.of(), ConfigSchema.contradictions(ConfigSchema.merge(first, second), first));
            assertEquals(
                    List.of(),
                    ConfigSchema.contradictions(ConfigSchema.merge(first, second), second).stream()
                            .filter(f -> !f.equals("planners"))
                            .toList());
            assertEquals(
                    ConfigSchema.merge(first, second).numbers(),
                    ConfigSchema.merge(second, first).numbers());
            assertEquals(List.of(), ConfigSchema.contradictions(ConfigSchema.withoutLease(first), first));
        }
    }

    private static ConfigDocument randomDocument(SplittableRandom random) {
        ConfigDocument document = ConfigDocument.EMPTY;
        for (ConfigField field : ConfigSchema.FIELDS) {
            if (random.nextBoolean()) {
                continue;
            } else if (field.kind() == ConfigField.Kind.NUMBER) {
                document = document.with(field, field.min() + random.nextDouble() * (field.max() - field.min()));
            } else if (field.kind() == ConfigField.Kind.NAMES) {
                document = document.with(field, random.nextBoolean() ? Map.of("x", "1") : Map.of("x", "2", "y", ""));
            } else {
                document = document.withTable(
                        field, random.nextBoolean() ? Map.of("t", random.nextDouble()) : Map.of("u", 0.5));
            }
        }
        return document;
    }
}
